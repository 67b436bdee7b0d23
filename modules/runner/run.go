package runner

import (
	"context"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

// run is the runner's part of one admitted attempt. Its fields are guarded by
// Runner.mu.
type attemptState struct {
	request        *arbutuspb.RunRequest
	blockHashes    []uint64
	weightsVersion string
	ctx            context.Context
	cancel         context.CancelFunc
	readerCount    int
	// done is the answer of an attempt that ended well.
	done *arbutuspb.Done
	// message describes a failure for logs and operators.
	failureMessage string
	// changed is closed and replaced when readers or the producer should look
	// again.
	changed chan struct{}
}

func newAttemptState(req *arbutuspb.RunRequest, blockHashes []uint64, weightsVersion string) *attemptState {
	ctx, cancel := context.WithCancel(context.Background())
	return &attemptState{request: req, blockHashes: blockHashes, weightsVersion: weightsVersion, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

func (a *attemptState) atMostOnce() bool { return a.request.ClaimKey != "" }

func (a *attemptState) resumeOffset() int { return int(a.request.GetCompletion().GetResumeTokens()) }

func (a *attemptState) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}
