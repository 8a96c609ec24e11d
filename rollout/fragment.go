package rollout

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/jasminevane/jasminevane/platform"
	"github.com/pkg/errors"
)

// Limits of records that are split. The log takes records of up to 256 KiB, in which the data is encoded in base64, that of a fragment twice.
const (
	maxWholeBytes    = 160 << 10 // size of a record's JSON up to which it is not split
	fragmentBytes    = 120 << 10 // size of the data of a fragment
	maxFragments     = 128       // maximum number of fragments of a record
	maxSplitBytes    = 64 << 20  // maximum size of the JSON of a record that was split
	maxPendingSets   = 4         // maximum number of records of which some fragments are missing
	maxJoinedSets    = 16        // number of joined records whose repeated fragments are recognized
	maxPendingLength = 1024      // number of entries after its first fragment after which an incomplete record is dropped
)

// Fragment is a part of a record that is too large for one entry of the log. The data of all fragments of a set is the compressed JSON of
// the record.
type Fragment struct {
	Set   string `json:"set"` // tells records with the same ID apart
	Index int    `json:"i"`
	Count int    `json:"n"`
	Data  []byte `json:"data"`
}

// valid reports whether the fragment can be part of a record.
func (f *Fragment) valid() bool {
	return f != nil && f.Count > 0 && f.Count <= maxFragments && f.Index >= 0 && f.Index < f.Count && len(f.Data) <= fragmentBytes
}

// Encode returns the log records that hold rec, several if it is too large for one. Their IDs begin with id.
func Encode(id string, rec Record) ([]platform.Record, error) {
	whole, err := platform.Encode(id, rec)
	if err != nil || len(whole.Data) <= maxWholeBytes {
		return []platform.Record{whole}, err
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "split record")
	}
	if _, err := w.Write(whole.Data); err != nil {
		return nil, errors.Wrap(err, "split record")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "split record")
	}
	sum := sha256.Sum256(compressed.Bytes())
	pieces := slices.Collect(slices.Chunk(compressed.Bytes(), fragmentBytes))
	if len(pieces) > maxFragments || len(whole.Data) > maxSplitBytes {
		return nil, errors.Errorf("record %s of %d bytes is too large for the log", id, len(whole.Data))
	}
	var records []platform.Record
	for i, piece := range pieces {
		f := &Fragment{Set: hex.EncodeToString(sum[:8]), Index: i, Count: len(pieces), Data: piece}
		part, err := platform.Encode(fmt.Sprintf("%s-%d", id, i), Record{Kind: Part, ID: rec.ID, Fragment: f})
		if err != nil {
			return nil, err
		}
		records = append(records, part)
	}
	return records, nil
}

// fragmentSet holds the fragments of one record that were read so far.
type fragmentSet struct {
	key     string
	first   platform.Offset // of the first fragment
	pieces  [][]byte        // nil for those that are missing
	missing int
}

// assembler puts the fragments of records together. The zero value has none.
type assembler struct {
	sets   []*fragmentSet // in the order of their first fragments
	joined []string       // keys of the latest complete sets
}

// add takes a fragment from the log, and returns the record if it was the last one that was missing.
func (a *assembler) add(rec Record, offset platform.Offset) (whole Record, ok bool, err error) {
	f := rec.Fragment
	if !f.valid() {
		return Record{}, false, errors.New("invalid fragment")
	}
	a.drop(offset)
	key := rec.ID + "/" + f.Set
	if slices.Contains(a.joined, key) {
		return Record{}, false, nil
	}
	s := a.set(key, f.Count, offset)
	if len(s.pieces) != f.Count {
		return Record{}, false, errors.New("fragments differ in their number")
	}
	if s.pieces[f.Index] != nil {
		return Record{}, false, nil // the append was repeated after its response was lost
	}
	s.pieces[f.Index] = f.Data
	if s.missing--; s.missing > 0 {
		return Record{}, false, nil
	}
	a.sets = slices.DeleteFunc(a.sets, func(other *fragmentSet) bool { return other == s })
	a.joined = append(a.joined, key)
	a.joined = a.joined[max(0, len(a.joined)-maxJoinedSets):]
	whole, err = s.decode()
	return whole, err == nil, err
}

// drop removes records that have been incomplete for too many entries.
func (a *assembler) drop(now platform.Offset) {
	a.sets = slices.DeleteFunc(a.sets, func(s *fragmentSet) bool { return now-s.first > maxPendingLength })
}

// set returns the set with the key, which is new if there is none.
func (a *assembler) set(key string, count int, offset platform.Offset) *fragmentSet {
	for _, s := range a.sets {
		if s.key == key {
			return s
		}
	}
	if len(a.sets) == maxPendingSets {
		a.sets = slices.Delete(a.sets, 0, 1)
	}
	s := &fragmentSet{key: key, first: offset, pieces: make([][]byte, count), missing: count}
	a.sets = append(a.sets, s)
	return s
}

// firstOffset returns the offset of the first fragment of an incomplete record, or next if there is none.
func (a *assembler) firstOffset(next platform.Offset) platform.Offset {
	if len(a.sets) == 0 {
		return next
	}
	return a.sets[0].first
}

// decode returns the record of a complete set.
func (s *fragmentSet) decode() (Record, error) {
	r, err := gzip.NewReader(bytes.NewReader(slices.Concat(s.pieces...)))
	if err != nil {
		return Record{}, errors.Wrap(err, "join record")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxSplitBytes+1))
	if err != nil {
		return Record{}, errors.Wrap(err, "join record")
	}
	if len(data) > maxSplitBytes {
		return Record{}, errors.Errorf("record exceeds %d bytes", maxSplitBytes)
	}
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, errors.Wrap(err, "join record")
	}
	if rec.Kind == Part {
		return Record{}, errors.New("fragment of a fragment")
	}
	return rec, nil
}
