package admin

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against readiness that is put together of answers from before and after a change: the
// second check relies on a state that the first one finds complete.
func TestReadinessChecksKeepTheirOrder(t *testing.T) {
	for range 50 {
		a := &Admin{}
		known := false
		a.AddReadinessCheck("state", func() error {
			if !known {
				known = true
				return errors.New("no state")
			}
			return nil
		})
		a.AddReadinessCheck("use of the state", func() error {
			if known {
				return errors.New("not in use")
			}
			return nil
		})
		// The state becomes known during the first round and is not in use in any.
		assert.Equal(t, len(a.readinessFailures()), 2)
		assert.Equal(t, len(a.readinessFailures()), 1)
	}
}
