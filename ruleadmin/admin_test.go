package ruleadmin

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/objectstore/fake"
	"github.com/arbutusline/arbutusline/rules"
)

// Guards against old texts that cannot be rebuilt from the history, backward from
// the current version or forward from a snapshot, and against wrong line origins.
func TestOldVersionsAreRebuilt(t *testing.T) {
	ctx, store := context.Background(), fake.New()
	admin := newTestAdmin(store)
	texts := []string{""}
	for v := uint64(1); v <= 2*versionsPerSnapshot+20; v++ {
		text := texts[v-1] + fmt.Sprintf("weights hit %d # ann: version %d\n", v%9, v)
		if v > 1 {
			// Each version replaces only the last line.
			text = initialText() + fmt.Sprintf("weights hit %d # ann: version %d\n", v%9, v)
		}
		_, err := admin.Apply(ctx, ChangeRequest{Text: text, BaseVersion: v - 1, Author: "ann", Reason: fmt.Sprint(v)})
		assert.NilError(t, err)
		texts = append(texts, text)
	}
	current := uint64(len(texts) - 1)
	for _, v := range []uint64{1, 2, 5, versionsPerSnapshot - 1, versionsPerSnapshot, versionsPerSnapshot + 1, 2 * versionsPerSnapshot, current - 3, current} {
		r, err := admin.Version(ctx, v)
		assert.NilError(t, err)
		assert.Equal(t, r.Text, texts[v], "version %d", v)
		assert.Equal(t, r.Reason, fmt.Sprint(v))
	}
	_, err := admin.Version(ctx, current+1)
	assert.ErrorIs(t, err, ErrVersionNotFound)

	lines, origins, err := admin.Blame(ctx, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, len(lines), len(origins))
	assert.Equal(t, origins[0], rules.Origin{Version: 2, Author: "ann", Reason: "2"})
	assert.Equal(t, origins[len(origins)-1].Version, current)

	_, err = admin.Apply(ctx, ChangeRequest{Text: "weights hit 5 # ann: far\n", BaseVersion: 0, Author: "ann", Reason: "far", WriteID: "x"})
	assert.ErrorIs(t, err, ErrConflict)
}

// Guards against a history that grows without bound, and against pruning the
// snapshot that retained versions are rebuilt from.
func TestHistoryIsBounded(t *testing.T) {
	ctx, store := context.Background(), fake.New()
	admin := newTestAdmin(store)
	const latest = retainedVersions + 3*versionsPerSnapshot
	for v := uint64(1); v < latest; v++ {
		_, err := store.Put(ctx, HistoryKey(v), nil, objectstore.MustNotExist)
		assert.NilError(t, err)
	}
	admin.pruneHistory(ctx, latest-1)
	list, err := store.List(ctx, HistoryPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(list), latest-1, "only every 64th version prunes the history")
	admin.pruneHistory(ctx, latest)
	list, err = store.List(ctx, HistoryPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(list), retainedVersions)
	_, err = store.Get(ctx, HistoryKey(3*versionsPerSnapshot))
	assert.NilError(t, err)
}

// Guards against restarting at version 1 after rules/current was deleted: every
// process would ignore the new versions.
func TestDeletedRulesDoNotRestartAtVersion1(t *testing.T) {
	ctx, store := context.Background(), fake.New()
	admin := newTestAdmin(store)
	for v := range uint64(2) {
		_, err := admin.Apply(ctx, ChangeRequest{Text: initialText() + fmt.Sprintf("weights hit %d # a: b\n", v), BaseVersion: v, Author: "ann", Reason: "w"})
		assert.NilError(t, err)
	}
	o, err := store.Get(ctx, CurrentKey)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(ctx, CurrentKey, o.Version))
	_, err = admin.Apply(ctx, ChangeRequest{Text: initialText(), Author: "ann", Reason: "again"})
	assert.ErrorIs(t, err, ErrCorrupt)
}

// Guards against rules that are within the size limit of the rule language but whose
// record exceeds the size limit of the object store.
func TestLargeRulesFit(t *testing.T) {
	ctx, store := context.Background(), fake.New()
	admin := newTestAdmin(store)
	var text strings.Builder
	for i := 0; text.Len() < rules.MaxTextBytes-100; i++ {
		fmt.Fprintf(&text, "endpoint e%d model m host h%d zone z # ann: \"quoted\" <reason>\n", i, i)
	}
	_, err := admin.Apply(ctx, ChangeRequest{Text: text.String(), Author: "ann", Reason: "large"})
	assert.NilError(t, err)
	_, err = admin.Edit(ctx, "jose", "drain", func(text string) (string, error) {
		return text + "drain endpoint e7 # jose: repair\n", nil
	})
	assert.NilError(t, err)
}
