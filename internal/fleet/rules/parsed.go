package rules

// Shed drops what was read of a version; its content stays, and Open reads it again. A parsed version takes several times the bytes of
// its content.
func (v *Version) Shed() { v.read, v.floor = nil, nil }
