package gossip

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/arbutusline/arbutusline/api/arbutuspb"
	"github.com/arbutusline/arbutusline/decision/membership"
	"github.com/arbutusline/arbutusline/decision/ruleset"
)

// ErrInvalidDatagram means that a datagram could not be decoded.
var ErrInvalidDatagram = errors.New("gossip datagram is not valid")

// EncodeDatagram returns the datagram as protobuf.
func EncodeDatagram(d *membership.Datagram) ([]byte, error) {
	out := &pb.Datagram{
		From: d.From, FromIncarnation: d.FromIncarnation, Sequence: d.Sequence,
		RulesVersion: d.RulesVersion, MembersHash: d.MembersHash,
	}
	switch d.Kind {
	case membership.Probe:
		out.Body = &pb.Datagram_Probe{Probe: &pb.Probe{Target: d.Target, Join: d.Join}}
	case membership.Ack:
		out.Body = &pb.Datagram_Ack{Ack: &pb.Ack{Target: d.Target, TargetIncarnation: d.TargetIncarnation}}
	case membership.IndirectProbe:
		out.Body = &pb.Datagram_Indirect{Indirect: &pb.IndirectProbe{Target: d.Target, TargetAddress: d.TargetAddress}}
	case membership.SyncRequest:
		out.Body = &pb.Datagram_Sync{Sync: &pb.Sync{Buckets: d.BucketHashes}}
	case membership.Push:
		out.Body = &pb.Datagram_Push{Push: &pb.Push{}}
	}
	for _, m := range d.Members {
		out.Updates = append(out.Updates, &pb.GossipUpdate{Update: &pb.GossipUpdate_Member{Member: encodeMember(m)}})
	}
	for _, p := range d.Payloads {
		if u := encodePayload(p); u != nil {
			out.Updates = append(out.Updates, u)
		}
	}
	return proto.Marshal(out)
}

func encodeMember(m *membership.Member) *pb.MemberUpdate {
	return &pb.MemberUpdate{
		Name: m.Name, Role: m.Role, Zone: m.Zone, Address: m.GRPCAddress, GossipAddress: m.GossipAddress,
		Endpoint: m.Endpoint, Incarnation: m.Incarnation, Revision: m.Revision,
		State: pb.MemberState(m.State), Leaving: m.Leaving,
	}
}

// encodePayload returns nil if the type of the data is unknown.
func encodePayload(p membership.Payload) *pb.GossipUpdate {
	switch v := p.Data.(type) {
	case *ruleset.Delta:
		return &pb.GossipUpdate{Update: &pb.GossipUpdate_Rules{Rules: EncodeRulesDelta(v)}}
	case *pb.Suspect:
		return &pb.GossipUpdate{Update: &pb.GossipUpdate_Suspect{Suspect: v}}
	}
	return nil
}

// EncodeRulesDelta returns the delta as a protobuf message.
func EncodeRulesDelta(d *ruleset.Delta) *pb.RulesDelta {
	out := &pb.RulesDelta{BaseVersion: d.BaseVersion, Version: d.Version, TextHash: d.TextHash, Author: d.Author}
	for _, e := range d.Edits {
		out.Edits = append(out.Edits, &pb.RulesEdit{Line: uint32(e.BaseLine), Removed: uint32(e.RemovedCount), Added: e.AddedLines})
	}
	return out
}

// DecodeRulesDelta returns the delta of a protobuf message.
func DecodeRulesDelta(in *pb.RulesDelta) *ruleset.Delta {
	d := &ruleset.Delta{BaseVersion: in.GetBaseVersion(), Version: in.GetVersion(), TextHash: in.GetTextHash(), Author: in.GetAuthor()}
	for _, e := range in.GetEdits() {
		d.Edits = append(d.Edits, ruleset.Edit{BaseLine: int(e.GetLine()), RemovedCount: int(e.GetRemoved()), AddedLines: e.GetAdded()})
	}
	return d
}

// DecodeDatagram decodes a datagram from protobuf. It fails with
// ErrInvalidDatagram.
func DecodeDatagram(raw []byte) (*membership.Datagram, error) {
	var in pb.Datagram
	if err := proto.Unmarshal(raw, &in); err != nil {
		return nil, errors.Mark(err, ErrInvalidDatagram)
	}
	d := &membership.Datagram{
		From: in.GetFrom(), FromIncarnation: in.GetFromIncarnation(), Sequence: in.GetSequence(),
		RulesVersion: in.GetRulesVersion(), MembersHash: in.GetMembersHash(),
	}
	switch b := in.GetBody().(type) {
	case *pb.Datagram_Probe:
		d.Kind, d.Target, d.Join = membership.Probe, b.Probe.GetTarget(), b.Probe.GetJoin()
	case *pb.Datagram_Ack:
		d.Kind, d.Target, d.TargetIncarnation = membership.Ack, b.Ack.GetTarget(), b.Ack.GetTargetIncarnation()
	case *pb.Datagram_Indirect:
		d.Kind, d.Target, d.TargetAddress = membership.IndirectProbe, b.Indirect.GetTarget(), b.Indirect.GetTargetAddress()
	case *pb.Datagram_Sync:
		d.Kind, d.BucketHashes = membership.SyncRequest, b.Sync.GetBuckets()
	case *pb.Datagram_Push:
		d.Kind = membership.Push
	default:
		return nil, errors.Wrap(ErrInvalidDatagram, "datagram has no body")
	}
	for _, u := range in.GetUpdates() {
		decodeUpdate(d, u)
	}
	return d, nil
}

func decodeUpdate(d *membership.Datagram, u *pb.GossipUpdate) {
	switch v := u.GetUpdate().(type) {
	case *pb.GossipUpdate_Member:
		m := v.Member
		d.Members = append(d.Members, &membership.Member{
			Name: m.GetName(), Role: m.GetRole(), Zone: m.GetZone(), GRPCAddress: m.GetAddress(),
			GossipAddress: m.GetGossipAddress(), Endpoint: m.GetEndpoint(), Incarnation: m.GetIncarnation(),
			Revision: m.GetRevision(), State: membership.State(m.GetState()), Leaving: m.GetLeaving(),
		})
	case *pb.GossipUpdate_Rules:
		d.Payloads = append(d.Payloads, RulesDeltaPayload(DecodeRulesDelta(v.Rules)))
	case *pb.GossipUpdate_Suspect:
		d.Payloads = append(d.Payloads, crashSuspicionPayload(v.Suspect))
	}
}

// RulesDeltaPayload returns a payload with a rules delta. It is pushed but not
// piggybacked, because a peer that missed it is brought up to date once it
// announces its older version.
func RulesDeltaPayload(d *ruleset.Delta) membership.Payload {
	return membership.Payload{Key: "rules", Serial: d.Version, Size: d.MaxEncodedSize(), Data: d, PushOnly: true}
}

// crashSuspicionPayload returns a payload that replaces an older suspicion of the
// same request by the same reporter. Its size includes 8 bytes for the tags and
// lengths of the messages around it.
func crashSuspicionPayload(s *pb.Suspect) membership.Payload {
	return membership.Payload{
		Key:    fmt.Sprintf("suspect/%x/%s", s.GetFingerprint(), s.GetReporter()),
		Serial: s.GetSerial(), Size: proto.Size(s) + 8, Data: s,
	}
}
