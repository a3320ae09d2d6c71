package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
	"irispost/internal/fleet/lease"
)

// What the ledger forgets is on disk alone, in two parts. The trail is who made which version of what, when and why: leaves of 64 versions by
// number, each zstd of their JSON without contents. The contents follow each other by the order in which they came: each a delta from the one
// before it, but the first of each segment, which is whole, so that a segment is read and dropped without the others. What is too old goes in the
// transaction that adds something.
const (
	leaf        = 64
	mostLeaves  = 64 // and the one that is filled: the trail has the newest 4,096 versions
	segment     = 32
	mostSegment = 8 // and the one that is filled: the newest 256 contents
)

var (
	bucketTrail    = []byte("trail")
	bucketContents = []byte("contents")
)

// history is what a keeper has of versions that its ledger has forgotten.
type history struct {
	pending []forgotten           // not on disk yet; each comes there with what is written next, or again by the log
	last    configversion.Version // number and content of what was put last; without content: not known
	bad     func(what string, why error)
	told    map[string]bool // what it was told of
}

// spoilt tells once of something that cannot be read.
func (h *history) spoilt(what string, why error) {
	if !h.told[what] {
		h.told[what] = true
		h.bad(what, why)
	}
}

// forgotten is a version that the ledger has dropped, with its content coded from that of the version before; nil: not coded yet.
type forgotten struct {
	version *configversion.Version
	coded   []byte
}

// flush puts what is pending to disk. It is done with once the transaction is.
func (h *history) flush(tx *bbolt.Tx) error {
	if len(h.pending) == 0 {
		return nil
	}
	trail, contents := tx.Bucket(bucketTrail), tx.Bucket(bucketContents)
	if h.last.Content == nil {
		h.last = h.newest(contents)
	}
	newest, leaves := uint64(0), map[uint64][]*configversion.Version{}
	for i, f := range h.pending {
		v := f.version
		newest = max(newest, v.Number)
		at := v.Number / leaf
		if _, read := leaves[at]; !read {
			leaves[at] = h.leaf(trail, at)
		}
		place, known := slices.BinarySearchFunc(leaves[at], v.Number, byNumber)
		if known { // the log told it again
			continue
		}
		leaves[at] = slices.Insert(leaves[at], place, plainly(v))
		if i+segment*(mostSegment+1) < len(h.pending) { // it would be dropped at once
			continue
		}
		if err := h.content(contents, f); err != nil {
			return err
		}
	}
	for at, list := range leaves {
		b, err := json.Marshal(list)
		if err != nil {
			return err
		}
		if b, err = delta.Encode(nil, b); err != nil {
			return err
		}
		if err := trail.Put(number(at), b); err != nil {
			return err
		}
	}
	if err := drop(trail, newest/leaf, mostLeaves); err != nil {
		return err
	}
	return drop(contents, contents.Sequence(), segment*mostSegment+contents.Sequence()%segment)
}

// content puts a content behind the others.
func (h *history) content(b *bbolt.Bucket, f forgotten) error {
	seq, err := b.NextSequence() // from 1
	if err != nil {
		return err
	}
	coded, whole := f.coded, h.last.Content == nil || seq%segment == 0
	if whole || coded == nil || h.last.Number+1 != f.version.Number {
		base := h.last.Content
		if whole {
			base = nil
		}
		if coded, err = delta.Encode(base, f.version.Content); err != nil {
			return err
		}
	}
	h.last = configversion.Version{Number: f.version.Number, Content: f.version.Content}
	head := binary.AppendUvarint(nil, f.version.Number<<1)
	if whole {
		head = binary.AppendUvarint(nil, f.version.Number<<1|1)
	}
	return b.Put(number(seq), append(head, coded...))
}

// drop deletes what is more than so far before the newest.
func drop(b *bbolt.Bucket, newest, most uint64) error {
	c := b.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k)+most < newest; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// leaf reads versions of the trail.
func (h *history) leaf(b *bbolt.Bucket, at uint64) (list []*configversion.Version) {
	coded := b.Get(number(at))
	if coded == nil {
		return nil
	}
	text, err := delta.Decode(nil, coded, leaf*8192)
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	if err != nil || slices.Contains(list, nil) {
		h.spoilt(fmt.Sprintf("who made versions %d to %d", at*leaf, at*leaf+leaf-1), err)
		return nil
	}
	return list
}

// walk reads contents in the order in which they came, of the segments that are wanted. What cannot be read is told of, and what hangs on it left out.
func (h *history) walk(b *bbolt.Bucket, wanted func(segment uint64) bool, each func(n uint64, content []byte)) {
	var last []byte
	c := b.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if !wanted(binary.BigEndian.Uint64(k) / segment) {
			continue
		}
		head, size := binary.Uvarint(v)
		if size <= 0 {
			h.spoilt(fmt.Sprintf("content at place %d", binary.BigEndian.Uint64(k)), errors.New("it has no number"))
			last = nil
			continue
		}
		base := last
		if head&1 == 1 {
			base = nil
		} else if base == nil {
			continue // what it is a delta from was told of
		}
		content, err := delta.Decode(base, v[size:], configversion.MaxContentBytes)
		if err != nil {
			h.spoilt(fmt.Sprintf("content of version %d at place %d", head>>1, binary.BigEndian.Uint64(k)), err)
		} else {
			each(head>>1, content)
		}
		last = content
	}
}

// newest is the content that was put last.
func (h *history) newest(b *bbolt.Bucket) (last configversion.Version) {
	k, v := b.Cursor().Last()
	if k == nil {
		return last
	}
	head, _ := binary.Uvarint(v)
	h.walk(b, func(n uint64) bool { return n == binary.BigEndian.Uint64(k)/segment }, func(n uint64, content []byte) {
		if n == head>>1 {
			last = configversion.Version{Number: n, Content: content}
		}
	})
	return last
}

// between lists versions by number, those whose content is not there any more without.
func (h *history) between(tx *bbolt.Tx, from, to uint64) (list []*configversion.Version) {
	c := tx.Bucket(bucketTrail).Cursor()
	for k, _ := c.Seek(number(from / leaf)); k != nil && binary.BigEndian.Uint64(k) <= to/leaf; k, _ = c.Next() {
		for _, v := range h.leaf(tx.Bucket(bucketTrail), binary.BigEndian.Uint64(k)) {
			if v.Number >= from && v.Number <= to {
				list = append(list, v)
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	wanted, contents := map[uint64]bool{}, tx.Bucket(bucketContents)
	for c, k, v := first(contents); k != nil; k, v = c.Next() {
		if head, _ := binary.Uvarint(v); head>>1 >= from && head>>1 <= to {
			wanted[binary.BigEndian.Uint64(k)/segment] = true
		}
	}
	h.walk(contents, func(n uint64) bool { return wanted[n] }, func(n uint64, content []byte) {
		i, is := slices.BinarySearchFunc(list, n, byNumber)
		switch {
		case !is:
		case configversion.DigestOf(content) != list[i].Digest:
			h.spoilt(fmt.Sprintf("content of version %d", n), fmt.Errorf("it has the digest %.12s, and %.12s is said", configversion.DigestOf(content), list[i].Digest))
		default:
			list[i].Content = content
		}
	})
	return list
}

func first(b *bbolt.Bucket) (*bbolt.Cursor, []byte, []byte) {
	c := b.Cursor()
	k, v := c.First()
	return c, k, v
}

func byNumber(v *configversion.Version, n uint64) int { return int(int64(v.Number) - int64(n)) }

// plainly is a version without its content.
func plainly(v *configversion.Version) *configversion.Version {
	return &configversion.Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest, Author: v.Author, Reason: v.Reason, CreatedAt: v.CreatedAt}
}

// forget notes what a command has the ledger forget, before it does.
func (k *Replica) forget(numbers []uint64) {
	for _, n := range numbers {
		if v := k.ledger.Version(n); v != nil && n != k.ledger.InForce && n != k.ledger.Announced {
			k.store.history.pending = append(k.store.history.pending, forgotten{v, k.ledger.Delta(n)})
		}
	}
}

// past lists versions that the ledger has forgotten.
func (k *Replica) past(from, to uint64) (list []*configversion.Version, err error) {
	if len(k.store.history.pending) > 0 {
		if err := k.store.update(func(*bbolt.Tx) error { return nil }); err != nil {
			return nil, err
		}
	}
	err = k.store.db.View(func(tx *bbolt.Tx) error {
		list = k.store.history.between(tx, from, to)
		return nil
	})
	return list, err
}

// An answer about versions has so many of them at most, and goes on with no other once their contents have so many bytes.
const (
	mostListed  = 64
	mostContent = 4 << 20
)

// between lists versions by number, up to what an answer holds: empty once there are none.
func (k *Replica) between(from uint64) ([]*configversion.Version, error) {
	first := max(from, 1)
	var list []*configversion.Version
	for len(list) == 0 && first < k.ledger.Announced { // the next that there are
		older, err := k.past(first, first+mostListed-1)
		if err != nil {
			return nil, err
		}
		for _, v := range k.ledger.Versions {
			if v.Number >= first && v.Number < first+mostListed {
				list = append(list, v)
			}
		}
		list = append(list, older...)
		first += mostListed
	}
	if len(list) == 0 {
		if v := k.ledger.Version(k.ledger.Announced); v != nil && from <= v.Number {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *configversion.Version) int { return byNumber(a, b.Number) })
	list = slices.CompactFunc(list, func(a, b *configversion.Version) bool { return a.Number == b.Number }) // after a start, the log has yet to have it forgotten again
	bytes := 0
	for i, v := range list {
		if bytes += len(v.Content); bytes > mostContent && i > 0 {
			return list[:i], nil
		}
	}
	return list, nil
}

// versions answers with versions from a number on, and then with none.
func (k *Replica) versions(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	k.answer(w, r, func(*lease.Manager) any {
		list, err := k.between(from)
		if err != nil {
			k.log.Error("the history cannot be read", "why", err)
		}
		return slices.Concat([]*configversion.Version{}, list)
	})
}

// Versions asks for the versions from a number on. Those whose content is not kept any more are without it.
func (c *Client) Versions(from uint64) (list []*configversion.Version, err error) {
	for {
		var some []*configversion.Version
		if err := c.ask(http.MethodGet, "/versions?from="+strconv.FormatUint(from, 10), nil, &some); err != nil || len(some) == 0 {
			return list, err
		}
		list = append(list, some...)
		from = some[len(some)-1].Number + 1
	}
}

// Version asks for one version; nil: it is not there.
func (c *Client) Version(n uint64) (*configversion.Version, error) {
	var some []*configversion.Version
	if err := c.ask(http.MethodGet, "/versions?from="+strconv.FormatUint(n, 10), nil, &some); err != nil || len(some) == 0 || some[0].Number != n {
		return nil, err
	}
	return some[0], nil
}
