package configversion

// ReleaseParsed drops what was read of a version; its content stays, and Open reads it again. A parsed version takes several times the bytes of
// its content.
func (v *Version) ReleaseParsed() { v.read, v.floor = nil, nil }
