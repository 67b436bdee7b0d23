// Package ruleadmin changes the rules in the object store and reads their history.
// All changes go through Admin.Apply: a three-way merge with the current version,
// validation of the merged text, and a conditional write. The written record carries
// a write ID that identifies the change when the response to the write is lost.
package ruleadmin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/rules"
)

// CurrentKey is the key of the object that holds the current version of the rules.
const CurrentKey = "rules/current"

// HistoryPrefix is the key prefix of the history objects.
const HistoryPrefix = "rules/history/"

// HistoryKey returns the key of the history object of a version that has been
// replaced.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%d", HistoryPrefix, version) }

const (
	// versionsPerSnapshot is the interval at which history objects hold the whole
	// text; the others hold only the changed lines. A text of 500 KB then adds 2 KB
	// per version, and reading an old version takes at most 256 store calls.
	versionsPerSnapshot = 256
	// retainedVersions is the minimum number of versions in the history: 34 hours
	// at the target of 5,800 changes a day, so that yesterday's changes can be
	// looked up.
	retainedVersions = 8192
	// versionsPerPrune is the interval, in versions, at which the history is
	// pruned. Pruning lists the history, which is too expensive for every change.
	versionsPerPrune = 64
	// maxVersionsBehind is how far the base version of a change may be behind the
	// current version. Each version in between costs one read.
	maxVersionsBehind = 1024
)

// VersionRecord is one version of the rules as stored, JSON-encoded, in the object
// CurrentKey and in the history objects.
type VersionRecord struct {
	// Version starts at 1 and increases by one with each change.
	Version uint64 `json:"version"`
	// Author and Reason say who made the change and why.
	Author string `json:"author"`
	Reason string `json:"reason"`
	// WriteID identifies the change that created the version.
	WriteID string `json:"write_id"`
	// BaseVersion is the version that the operator edited.
	BaseVersion uint64 `json:"base"`
	// CreatedAt is the creation time by the operator's clock.
	CreatedAt time.Time `json:"at"`
	// Hunks are the changes to the text of the previous version. They are omitted
	// when the changed lines exceed half of the text; then Text is always present.
	Hunks []rules.Hunk `json:"hunks,omitempty"`
	// Duplicates are lines that the operator added although another change had
	// already added the same rule.
	Duplicates []string `json:"duplicates,omitempty"`
	// TextSHA256 is the SHA-256 digest of the text in hexadecimal.
	TextSHA256 string `json:"digest"`
	// Text is the whole text if HasText is true, otherwise empty.
	Text    string `json:"text"`
	HasText bool   `json:"full"`
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Encode returns the JSON encoding. It fails with ErrRulesTooLarge when it exceeds
// the largest value that the object store accepts.
func (r VersionRecord) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	// HTML escaping would take six bytes for each "<" and ">".
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, fmt.Errorf("encode version %d: %w", r.Version, err)
	}
	if buf.Len() > objectstore.MaxValueBytes {
		return nil, fmt.Errorf("%w: version %d needs %d bytes", ErrRulesTooLarge, r.Version, buf.Len())
	}
	return buf.Bytes(), nil
}

// DecodeVersionRecord decodes the output of Encode. It fails with ErrCorrupt.
func DecodeVersionRecord(value []byte) (VersionRecord, error) {
	var record VersionRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return VersionRecord{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if record.Version == 0 || (record.HasText && record.TextSHA256 != "" && record.TextSHA256 != sha256Hex(record.Text)) {
		return VersionRecord{}, fmt.Errorf("%w: version %d", ErrCorrupt, record.Version)
	}
	return record, nil
}

// newVersionRecord returns the record of the version that follows current.
func newVersionRecord(current VersionRecord, change *pendingChange, merged rules.MergeResult) VersionRecord {
	text := merged.Text
	record := VersionRecord{
		Version: current.Version + 1, Author: change.Author, Reason: change.Reason, WriteID: change.WriteID,
		BaseVersion: change.BaseVersion, CreatedAt: change.createdAt, TextSHA256: sha256Hex(text), Text: text, HasText: true,
		Hunks: rules.Diff(current.Text, text), Duplicates: merged.Duplicates,
	}
	changedBytes := 0
	for _, h := range record.Hunks {
		for _, lines := range [][]string{h.Removed, h.Added} {
			for _, l := range lines {
				changedBytes += len(l) + 1
			}
		}
	}
	if changedBytes > len(text)/2 {
		record.Hunks = nil
	}
	return record
}

// historyForm returns the record as it is stored in the history: without the text,
// unless the version is a snapshot or has no hunks.
func (r VersionRecord) historyForm() VersionRecord {
	if len(r.Hunks) > 0 && r.Version%versionsPerSnapshot != 0 {
		r.Text, r.HasText = "", false
	}
	return r
}
