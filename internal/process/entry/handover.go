package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/handover"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// followWait is how long a peer waits for more of an answer.
	followWait    = 3 * time.Second
	followTimeout = followWait + 2*time.Second
	takeTimeout   = 2 * time.Second
	// takers is how many hosts a request is offered to.
	takers = 3
	// handoverMargin is left before a host is gone to hand its work over.
	handoverMargin = 5 * time.Second
)

// errHandover ends the attempts of work that is to be handed over.
var errHandover = errors.New("entry: handed over")

// Peers is how an entry host reaches the others.
type Peers struct {
	// Self and Zone place this host among Live.
	Self identity.Host
	Zone identity.Zone
	Live func() []member.Peer
	// Client calls peers; its connections are kept.
	Client *http.Client
}

// WithPeers lets the server hand work over and find answers at its peers.
func WithPeers(p Peers) Option {
	return func(s *Server) { s.peers = p }
}

// MountPeers adds the handover service to the peer listener's router.
func (s *Server) MountPeers(router peer.Router) {
	path, handler := handover.NewHandoverServiceHandler(handoverServer{server: s})
	router.PathPrefix(path).Handler(handler)
}

// HandOver ends the attempts of all model calls and gives them to peers. It
// returns when all work has ended or ctx has.
func (s *Server) HandOver(ctx context.Context) {
	s.stopping.Store(true)
	s.requests.stopAll(errHandover)
	for s.Running() > 0 && pause.For(ctx, drainPoll) {
	}
}

// noticed starts to leave when a reclaim of this host is announced. A notice of
// an earlier host of the same name has a deadline that is past.
func (s *Server) noticed(n cloud.Notice) {
	if n.Host != s.settings.Host || !time.Now().Before(n.Deadline) || s.leaving.Swap(true) {
		return
	}
	s.group.Go(func() error {
		s.Leave(s.ctx, n.Deadline)
		return nil
	})
}

// Leave hands the work over shortly before the host is gone.
func (s *Server) Leave(ctx context.Context, deadline time.Time) {
	s.stopping.Store(true)
	s.Log.Info("host_draining", "deadline", deadline, "running", s.Running())
	if pause.For(ctx, time.Until(deadline)-handoverMargin) {
		s.HandOver(ctx)
	}
}

// full tells why no more work is taken: the host is handing its work over, or
// holds all it may.
func (s *Server) full() *verdict.Error {
	reason := verdict.HostFull
	if s.requests.isStopped() {
		reason = verdict.HostStopping
	}
	failure := verdict.New(verdict.NotRun, reason, "")
	failure.RetryAfter = time.Second
	return failure
}

// give offers a request to peers of the zone until one takes it.
func (s *Server) give(ctx context.Context, w work) bool {
	if s.peers.Live == nil {
		return false
	}
	request := &handover.TakeRequest{
		Request: string(w.call.Request), Organisation: string(w.call.Organisation), Service: string(w.call.Service),
		Prompt: w.call.Prompt, MaxTokens: int64(w.call.MaxTokens), Priority: int32(w.call.Priority),
		Tokens: w.answer.Tokens(0),
	}
	if !w.call.Deadline.IsZero() {
		request.DeadlineMs = max(1, time.Until(w.call.Deadline).Milliseconds())
	}
	for _, p := range s.candidates(w.call.Request, s.peers.Zone, takers) {
		limited, cancel := context.WithTimeout(ctx, takeTimeout)
		response, err := s.peer(p).Take(limited, connect.NewRequest(request))
		cancel()
		if err == nil && response.Msg.GetTaken() {
			s.Meter.Counter(`handovers_total{outcome="taken"}`).Inc()
			s.Log.Info("handed_over", "request", w.call.Request, "to", p.Host, "offset", len(request.Tokens))
			return true
		}
		s.Meter.Counter(`handovers_total{outcome="refused"}`).Inc()
		s.Log.Warn("handover_refused", "request", w.call.Request, "to", p.Host, "error", err)
	}
	return false
}

func (s *Server) peer(p member.Peer) handover.HandoverServiceClient {
	return handover.NewHandoverServiceClient(s.peers.Client, "http://"+p.Address.String())
}

// candidates lists the first hosts of a zone that a request is handed to.
func (s *Server) candidates(request identity.Request, zone identity.Zone, most int) []member.Peer {
	known := make(map[identity.Host]member.Peer)
	var hosts []identity.Host
	for _, p := range s.peers.Live() {
		if p.Zone == zone && p.Host != s.peers.Self {
			known[p.Host] = p
			hosts = append(hosts, p.Host)
		}
	}
	var list []member.Peer
	for _, h := range handover.Order(request, hosts) {
		list = append(list, known[h])
	}
	return list[:min(most, len(list))]
}

// homes lists the hosts that may have a request: the one that accepted it, and
// those of each zone that it would have been handed to; one more than takers,
// as the host that left may be among them.
func (s *Server) homes(request identity.Request) []member.Peer {
	var homes []member.Peer
	zones := make(map[identity.Zone]bool)
	for _, p := range s.peers.Live() {
		if p.Host != s.peers.Self && request.AcceptedAt(p.Host) {
			homes = append(homes, p)
		}
		zones[p.Zone] = true
	}
	for zone := range zones {
		homes = append(homes, s.candidates(request, zone, takers+1)...)
	}
	return homes
}

// locate finds a request at a peer and follows it into a work of our own, which
// is filled until ctx ends.
func (s *Server) locate(ctx context.Context, id identity.Request, organisation identity.Organisation) (work, bool) {
	if s.peers.Live == nil {
		return work{}, false
	}
	ask := &handover.FollowRequest{Request: string(id), Organisation: string(organisation)}
	homes := s.homes(id)
	found := make([]*handover.FollowResponse, len(homes))
	var group errgroup.Group
	for i, p := range homes {
		group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, followTimeout)
			defer cancel()
			response, err := s.peer(p).Follow(limited, connect.NewRequest(ask))
			if err == nil && response.Msg.GetFound() {
				found[i] = response.Msg
			}
			return nil
		})
	}
	_ = group.Wait()
	for i, first := range found {
		if first == nil || first.GetFailure().GetReason() == string(verdict.HostStopping) {
			continue
		}
		w := work{
			call:   call.Call{Request: id, Organisation: organisation, Service: identity.Service(first.GetService())},
			answer: answer.New(), plain: &plainResult{done: make(chan struct{})},
		}
		if first.GetIsPlain() {
			w.call.Method = http.MethodGet
		}
		s.group.Go(func() error {
			s.copyFrom(ctx, homes[i], first, w)
			return nil
		})
		return w, true
	}
	return work{}, false
}

// copyFrom takes an answer over from a peer until its end.
func (s *Server) copyFrom(ctx context.Context, p member.Peer, piece *handover.FollowResponse, w work) {
	for !fill(w, piece) {
		ask := &handover.FollowRequest{
			Request: string(w.call.Request), Organisation: string(w.call.Organisation), Offset: int64(w.answer.Offset()),
		}
		limited, cancel := context.WithTimeout(ctx, followTimeout)
		response, err := s.peer(p).Follow(limited, connect.NewRequest(ask))
		cancel()
		if err != nil || !response.Msg.GetFound() {
			lost := verdict.Wrap(verdict.MayHaveRun, verdict.UnknownRequest, err)
			w.answer.Fail(lost)
			if w.call.Method != "" {
				w.plain.finish(engine.PlainAnswer{}, lost)
			}
			return
		}
		piece = response.Msg
	}
}

// fill adds a piece to a work and tells whether it was the last.
func fill(w work, piece *handover.FollowResponse) bool {
	if _, err := w.answer.Add(w.answer.Offset(), piece.GetTokens()); err != nil {
		w.answer.Fail(verdict.Of(err))
		return true
	}
	if !piece.GetDone() {
		return false
	}
	var failure *verdict.Error
	if f := piece.GetFailure(); f != nil {
		failure = verdict.New(verdict.Parse(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetDetail())
	}
	if piece.GetIsPlain() {
		o := piece.GetPlain()
		w.plain.finish(engine.PlainAnswer{Status: int(o.GetStatus()), ContentType: o.GetContentType(), Body: o.GetBody()}, failure)
		return true
	}
	if failure != nil {
		w.answer.Fail(failure)
		return true
	}
	w.answer.Finish(engine.Usage{
		PromptTokens: unit.Tokens(piece.GetPromptTokens()), CachedTokens: unit.Tokens(piece.GetCachedTokens()),
		CompletionTokens: w.answer.Offset(),
	})
	return true
}
