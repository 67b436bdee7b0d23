package rulespread

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/ruleset"
	"github.com/arbutusline/arbutusline/modules/gossip"
	"github.com/arbutusline/arbutusline/objectstore"
)

// ErrInvalidRecord means that the value of the rules object could not be decoded.
var ErrInvalidRecord = errors.New("rules record is not valid")

// maxResponseBytes is the size of the largest object in the store plus 64 KiB for
// the other fields of a response.
const maxResponseBytes = objectstore.MaxValueBytes + 64<<10

// record is the value of the rules object.
type record struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Text    string `json:"text"`
}

func decodeRecord(value []byte) (*ruleset.Text, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Mark(err, ErrInvalidRecord)
	}
	if r.Version == 0 {
		return nil, errors.Wrap(ErrInvalidRecord, "version is missing")
	}
	return &ruleset.Text{Version: r.Version, Author: r.Author, Body: r.Text}, nil
}

// FetchRules implements the method FetchRules of the gRPC service Peer.
func (m *Module) FetchRules(_ context.Context, in *pb.FetchRulesRequest) (*pb.RulesSnapshot, error) {
	m.mu.Lock()
	resp := m.stateMachine.ServeFetch(in.GetHaveVersion())
	m.mu.Unlock()
	m.metrics.fetchesServed.Inc()
	return encodeFetchResponse(resp), nil
}

func encodeFetchResponse(resp *ruleset.FetchResponse) *pb.RulesSnapshot {
	out := &pb.RulesSnapshot{Version: resp.Version}
	if resp.FullText != nil {
		out.Version, out.Text, out.Author = resp.FullText.Version, resp.FullText.Body, resp.FullText.Author
	}
	for _, d := range resp.Deltas {
		out.Deltas = append(out.Deltas, gossip.EncodeRulesDelta(d))
	}
	return out
}

// decodeFetchResponse decodes the response to a fetch by a process that holds
// haveVersion.
func decodeFetchResponse(in *pb.RulesSnapshot, haveVersion uint64) *ruleset.FetchResponse {
	resp := &ruleset.FetchResponse{Version: in.GetVersion()}
	if len(in.GetDeltas()) == 0 && in.GetVersion() > haveVersion {
		resp.FullText = &ruleset.Text{Version: in.GetVersion(), Author: in.GetAuthor(), Body: in.GetText()}
	}
	for _, d := range in.GetDeltas() {
		resp.Deltas = append(resp.Deltas, gossip.DecodeRulesDelta(d))
	}
	return resp
}

// grpcFetcher fetches rules over gRPC. It opens a connection for each fetch, because
// fetches are rare and go to random processes.
type grpcFetcher struct{}

// Fetch implements PeerFetcher.
func (grpcFetcher) Fetch(ctx context.Context, address string, haveVersion, haveHash uint64) (*ruleset.FetchResponse, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	defer func() { _ = conn.Close() }()
	out, err := pb.NewPeerClient(conn).FetchRules(ctx,
		&pb.FetchRulesRequest{HaveVersion: haveVersion, HaveHash: haveHash}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, errors.Wrapf(err, "fetch rules from %s", address)
	}
	return decodeFetchResponse(out, haveVersion), nil
}

func (m *Module) fetchFromPeer(f ruleset.Fetch) {
	resp, err := m.callPeer(f)
	if err != nil {
		m.metrics.fetches.WithLabelValues("failed").Inc()
		m.log.WithError(err).WithField("peer", f.Peer).Debug("failed to fetch rules from peer")
	} else {
		m.metrics.fetches.WithLabelValues("answered").Inc()
	}
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.HandleFetchResult(now, f.Peer, resp) })
}

func (m *Module) callPeer(f ruleset.Fetch) (*ruleset.FetchResponse, error) {
	peer, ok := m.gossip.Member(f.Peer)
	if !ok {
		return nil, errors.Newf("peer %s is not a live member", f.Peer)
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	return m.fetcher.Fetch(ctx, peer.GRPCAddress, f.HaveVersion, f.HaveHash)
}

func (m *Module) readStore() {
	result, text, version := ruleset.StoreFailed, (*ruleset.Text)(nil), uint64(0)
	if m.store != nil {
		result, text, version = m.getCurrentRules()
	}
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.HandleReadResult(now, result, text, version) })
}

func (m *Module) getCurrentRules() (ruleset.StoreResult, *ruleset.Text, uint64) {
	ctx, cancel := context.WithTimeout(m.ctx, m.CallTimeout.AsDuration())
	defer cancel()
	m.metrics.storeCalls.WithLabelValues("get").Inc()
	o, err := m.store.Get(ctx, CurrentKey)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return ruleset.StoreNotFound, nil, 0
	case err != nil:
		return ruleset.StoreFailed, nil, 0
	}
	text, err := decodeRecord(o.Value)
	if err != nil {
		m.log.WithError(err).Error("failed to decode rules object in store")
		return ruleset.StoreFailed, nil, 0
	}
	return ruleset.StoreFound, text, o.Version
}

func (m *Module) watchStore(since uint64) {
	// Half of CallTimeout is allowed for the round trip.
	ctx, cancel := context.WithTimeout(m.ctx, m.WatchTimeout.AsDuration()+m.CallTimeout.AsDuration()/2)
	defer cancel()
	m.metrics.storeCalls.WithLabelValues("watch").Inc()
	next, changes, err := m.store.Watch(ctx, CurrentKey, since, m.WatchTimeout.AsDuration())
	result, changed := ruleset.StoreFound, false
	switch {
	case errors.Is(err, objectstore.ErrCompacted):
		changed = true
	case err != nil:
		result = ruleset.StoreFailed
	}
	for _, c := range changes {
		changed = changed || c.Key == CurrentKey
	}
	m.withStateMachine(func(sm *ruleset.StateMachine, now time.Duration) { sm.HandleWatchResult(now, result, changed, next) })
}
