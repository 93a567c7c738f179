// Package audit keeps the trail of accepted changes in the platform's store.
// The trail is bounded, and each entry contains the hash of the one before, so
// an entry that was altered, removed or inserted is detected.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/config"
)

// Tampered is the class of errors for a trail that was not written by Seal and
// Append alone.
var Tampered = errs.Class("audit: tampered")

// MaxText bounds the Who, What and Commit of an entry, in bytes.
const MaxText = 512

// Entry is one accepted change.
type Entry struct {
	// Sequence numbers the entries from 1 without gaps.
	Sequence uint64         `json:"sequence"`
	Version  config.Version `json:"version"`
	From     config.Version `json:"from"`
	ChangeID string         `json:"changeID"`
	Who      string         `json:"who"`
	When     time.Time      `json:"when"`
	What     string         `json:"what"`
	// Commit identifies the commit that the declaration was made from.
	Commit string `json:"commit,omitempty"`
	// Digest is the SHA-256 of the stored form of the version, in hexadecimal.
	Digest string `json:"digest"`
	// Previous is the Hash of the entry before, empty for the first. Hash is
	// the SHA-256 of this entry with Hash empty, in hexadecimal.
	Previous string `json:"previous,omitempty"`
	Hash     string `json:"hash"`
}

// Seal returns the entry that follows previous, which is zero before the first.
func Seal(previous, e Entry) Entry {
	e.Sequence = previous.Sequence + 1
	e.Previous = previous.Hash
	e.Who = truncate(e.Who)
	e.What = truncate(e.What)
	e.Commit = truncate(e.Commit)
	e.When = e.When.UTC().Round(0)
	e.Hash = e.hash()
	return e
}

func (e Entry) hash() string {
	e.Hash = ""
	data, err := json.Marshal(e)
	if err != nil {
		panic("audit: cannot encode entry: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), MaxText)], "")
}

// Verify returns Tampered unless the entries form an unbroken chain that ends
// with last. It does not check entries before the first one given.
func Verify(entries []Entry, last Entry) error {
	for i, e := range entries {
		if e.hash() != e.Hash {
			return Tampered.New("hash of entry %d does not match its content", e.Sequence)
		}
		if i == 0 {
			if e.Sequence == 1 && e.Previous != "" {
				return Tampered.New("entry 1 has a previous hash")
			}
			continue
		}
		previous := entries[i-1]
		if e.Sequence != previous.Sequence+1 {
			return Tampered.New("entry %d directly follows entry %d, out of sequence", e.Sequence, previous.Sequence)
		}
		if e.Previous != previous.Hash {
			return Tampered.New("previous hash of entry %d is not the hash of entry %d", e.Sequence, previous.Sequence)
		}
		if e.From < previous.Version || e.Version <= previous.Version {
			return Tampered.New("versions of entry %d do not follow those of the entry before", e.Sequence)
		}
	}
	if len(entries) == 0 {
		if last.Sequence != 0 {
			return Tampered.New("entry %d is missing", last.Sequence)
		}
		return nil
	}
	if end := entries[len(entries)-1]; end.Hash != last.Hash {
		return Tampered.New("the trail ends with entry %d, which differs from entry %d in the configuration", end.Sequence, last.Sequence)
	}
	return nil
}
