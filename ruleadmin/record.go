// Package ruleadmin changes the rules in the object store and reads their
// history. All changes go through Admin.Apply: a three-way merge onto the
// version in force, a check of the whole result, and one conditional write with
// a write id, by which the change is recognised when the answer is lost.
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

// CurrentKey is the object that holds the rules in force.
const CurrentKey = "rules/current"

// HistoryPrefix starts the keys of the history objects.
const HistoryPrefix = "rules/history/"

// HistoryKey returns the object key of a version that is no longer in force.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%d", HistoryPrefix, version) }

const (
	// snapshotEvery is the distance of history objects that hold the whole
	// text; the others hold the changed lines. A text of 500 KB then costs
	// 2 KB per version, and reading an old version at most 256 calls.
	versionsPerSnapshot = 256
	// keepHistory is the number of versions kept: 34 hours at the target of
	// 5,800 changes a day, so that yesterday's changes can be looked up.
	retainedVersions = 8192
	// pruneEvery is the distance of versions that delete older ones, because
	// listing the history is expensive.
	versionsPerPrune = 64
	// maxSpan is the largest distance from the base of an edit to the version
	// in force; each version between costs one read.
	maxVersionsBehind = 1024
)

// Record is one version of the rules. CurrentKey and the history objects hold
// it as JSON.
type VersionRecord struct {
	// Version rises by one with each change, from 1.
	Version uint64 `json:"version"`
	// Author and Reason say who made the change and why.
	Author string `json:"author"`
	Reason string `json:"reason"`
	// WriteID identifies the apply that made the version.
	WriteID string `json:"write_id"`
	// Base is the version that the operator started from.
	BaseVersion uint64 `json:"base"`
	// At is the time by the operator's clock.
	CreatedAt time.Time `json:"at"`
	// Hunks lead from the text of the version before. Empty when they would
	// not be much smaller than the text; Text is complete then.
	Hunks []rules.Hunk `json:"hunks,omitempty"`
	// Duplicates are lines that the operator added although another edit had
	// already added the same rule.
	Duplicates []string `json:"duplicates,omitempty"`
	// Digest is the SHA-256 of the text in hexadecimal digits.
	TextSHA256 string `json:"digest"`
	// Text is the whole text if Full is true.
	Text    string `json:"text"`
	HasText bool   `json:"full"`
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Encode returns the JSON form. It fails with ErrTooLarge when the object store
// would not take it.
func (r VersionRecord) Encode() ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	// Escaping "<" and ">" would cost six bytes each.
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return nil, fmt.Errorf("encode version %d: %w", r.Version, err)
	}
	if buf.Len() > objectstore.MaxValueBytes {
		return nil, fmt.Errorf("%w: version %d needs %d bytes", ErrRulesTooLarge, r.Version, buf.Len())
	}
	return buf.Bytes(), nil
}

// Decode reads what Encode wrote. It fails with ErrCorrupt.
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

// newRecord returns the version that follows current.
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

// archived returns the form of a version in the history.
func (r VersionRecord) historyForm() VersionRecord {
	if len(r.Hunks) > 0 && r.Version%versionsPerSnapshot != 0 {
		r.Text, r.HasText = "", false
	}
	return r
}
