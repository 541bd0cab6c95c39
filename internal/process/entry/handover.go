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
	// followWait is how long a Follow call waits for more of an answer.
	followWait    = 3 * time.Second
	followTimeout = followWait + 2*time.Second
	takeTimeout   = 2 * time.Second
	// maxHandoverPeers bounds how many hosts a request is offered to.
	maxHandoverPeers = 3
	// handoverMargin is the time for the handover before the host is reclaimed, or
	// after a drain was ended early.
	handoverMargin = 5 * time.Second
)

// errHandover is the cancellation cause of attempts whose request is to be
// handed over.
var errHandover = errors.New("entry: request is handed over to a peer")

// Peers lets an entry host call the others.
type Peers struct {
	// Self and Zone identify this host among Live.
	Self identity.Host
	Zone identity.Zone
	Live func() []member.Peer
	// Client calls peers and keeps connections alive.
	Client *http.Client
}

// WithPeers lets the server hand requests over to its peers and find answers
// there.
func WithPeers(p Peers) Option {
	return func(s *Server) { s.peers = p }
}

// MountHandover adds the handover service to the peer listener's router.
func (s *Server) MountHandover(router peer.Router) {
	path, handler := handover.NewHandoverServiceHandler(handoverServer{server: s})
	router.PathPrefix(path).Handler(handler)
}

// HandOver ends the attempts of all model calls and offers the calls to peers.
// It returns when all requests have ended or ctx has.
func (s *Server) HandOver(ctx context.Context) {
	s.stopping.Store(true)
	s.requests.cancelAll(errHandover)
	for s.Running() > 0 && pause.For(ctx, drainPollInterval) {
	}
}

// onNotice starts to leave when a reclaim of this host is announced. Notices
// whose deadline has passed concern an earlier host of the same name and are
// ignored.
func (s *Server) onNotice(n cloud.Notice) {
	if n.Host != s.settings.Host || !time.Now().Before(n.Deadline) || s.leaving.Swap(true) {
		return
	}
	s.group.Go(func() error {
		s.Leave(s.ctx, n.Deadline)
		return nil
	})
}

// Leave makes the host unready and hands its requests over shortly before the
// deadline of its reclaim.
func (s *Server) Leave(ctx context.Context, deadline time.Time) {
	s.stopping.Store(true)
	s.Log.Info("host_draining", "deadline", deadline, "running", s.Running())
	if pause.For(ctx, time.Until(deadline)-handoverMargin) {
		s.HandOver(ctx)
	}
}

// notAcceptingError returns the reason that no request is accepted: the host is
// handing over its requests, or it has reached its limits.
func (s *Server) notAcceptingError() *verdict.Error {
	reason := verdict.HostFull
	if s.requests.isCancelled() {
		reason = verdict.HostStopping
	}
	failure := verdict.New(verdict.NotRun, reason, "")
	failure.RetryAfter = time.Second
	return failure
}

// offerToPeers offers a request to peers in the zone until one takes it, and
// reports whether one did.
func (s *Server) offerToPeers(ctx context.Context, tracked trackedRequest) bool {
	if s.peers.Live == nil {
		return false
	}
	request := &handover.TakeRequest{
		Request: string(tracked.call.Request), Organisation: string(tracked.call.Organisation), Service: string(tracked.call.Service),
		Prompt: tracked.call.Prompt, MaxTokens: int64(tracked.call.MaxTokens), Priority: int32(tracked.call.Priority),
		Tokens: tracked.answer.TokensFrom(0),
	}
	if !tracked.call.Deadline.IsZero() {
		request.DeadlineMs = max(1, time.Until(tracked.call.Deadline).Milliseconds())
	}
	for _, p := range s.handoverPeers(tracked.call.Request, s.peers.Zone, maxHandoverPeers) {
		takeCtx, cancel := context.WithTimeout(ctx, takeTimeout)
		response, err := s.handoverClient(p).Take(takeCtx, connect.NewRequest(request))
		cancel()
		if err == nil && response.Msg.GetTaken() {
			s.Meter.Counter(`handovers_total{outcome="taken"}`).Inc()
			s.Log.Info("handed_over", "request", tracked.call.Request, "to", p.Host, "offset", len(request.Tokens))
			return true
		}
		s.Meter.Counter(`handovers_total{outcome="refused"}`).Inc()
		s.Log.Warn("handover_refused", "request", tracked.call.Request, "to", p.Host, "error", err)
	}
	return false
}

func (s *Server) handoverClient(p member.Peer) handover.HandoverServiceClient {
	return handover.NewHandoverServiceClient(s.peers.Client, "http://"+p.Address.String())
}

// handoverPeers lists up to limit hosts of a zone in the order in which a request
// is offered to them.
func (s *Server) handoverPeers(request identity.Request, zone identity.Zone, limit int) []member.Peer {
	byHost := make(map[identity.Host]member.Peer)
	var hosts []identity.Host
	for _, p := range s.peers.Live() {
		if p.Zone == zone && p.Host != s.peers.Self {
			byHost[p.Host] = p
			hosts = append(hosts, p.Host)
		}
	}
	var ordered []member.Peer
	for _, h := range handover.RankHosts(request, hosts) {
		ordered = append(ordered, byHost[h])
	}
	return ordered[:min(limit, len(ordered))]
}

// likelyHolders lists the hosts that may have a request: the one that accepted it
// and, in each zone, the first maxHandoverPeers+1 to which it would have been offered.
// One is added since the host that left may still count as live.
func (s *Server) likelyHolders(request identity.Request) []member.Peer {
	var holders []member.Peer
	zones := make(map[identity.Zone]bool)
	for _, p := range s.peers.Live() {
		if p.Host != s.peers.Self && request.MayBeFrom(p.Host) {
			holders = append(holders, p)
		}
		zones[p.Zone] = true
	}
	for zone := range zones {
		holders = append(holders, s.handoverPeers(request, zone, maxHandoverPeers+1)...)
	}
	return holders
}

// locate finds a request at a peer and returns a local copy, which is filled in
// the background until ctx ends.
func (s *Server) locate(ctx context.Context, id identity.Request, organisation identity.Organisation) (trackedRequest, bool) {
	if s.peers.Live == nil {
		return trackedRequest{}, false
	}
	request := &handover.FollowRequest{Request: string(id), Organisation: string(organisation)}
	holders := s.likelyHolders(id)
	responses := make([]*handover.FollowResponse, len(holders))
	var group errgroup.Group
	for i, p := range holders {
		group.Go(func() error {
			followCtx, cancel := context.WithTimeout(ctx, followTimeout)
			defer cancel()
			response, err := s.handoverClient(p).Follow(followCtx, connect.NewRequest(request))
			if err == nil && response.Msg.GetFound() {
				responses[i] = response.Msg
			}
			return nil
		})
	}
	_ = group.Wait()
	for i, firstResponse := range responses {
		if firstResponse == nil || firstResponse.GetFailure().GetReason() == string(verdict.HostStopping) {
			continue
		}
		tracked := trackedRequest{
			call:   call.Call{Request: id, Organisation: organisation, Service: identity.Service(firstResponse.GetService())},
			answer: answer.New(), plain: &plainResult{done: make(chan struct{})},
		}
		if firstResponse.GetIsPlain() {
			// Any method marks the call as one to a plain service.
			tracked.call.Method = http.MethodGet
		}
		s.group.Go(func() error {
			s.copyFromPeer(ctx, holders[i], firstResponse, tracked)
			return nil
		})
		return tracked, true
	}
	return trackedRequest{}, false
}

// copyFromPeer copies an answer from a peer until its end.
func (s *Server) copyFromPeer(ctx context.Context, p member.Peer, piece *handover.FollowResponse, tracked trackedRequest) {
	for !addPiece(tracked, piece) {
		request := &handover.FollowRequest{
			Request: string(tracked.call.Request), Organisation: string(tracked.call.Organisation), Offset: int64(tracked.answer.TokenCount()),
		}
		followCtx, cancel := context.WithTimeout(ctx, followTimeout)
		response, err := s.handoverClient(p).Follow(followCtx, connect.NewRequest(request))
		cancel()
		if err != nil || !response.Msg.GetFound() {
			failure := verdict.Wrap(verdict.MayHaveRun, verdict.UnknownRequest, err)
			tracked.answer.Fail(failure)
			if tracked.call.Method != "" {
				tracked.plain.finish(engine.PlainAnswer{}, failure)
			}
			return
		}
		piece = response.Msg
	}
}

// addPiece adds a piece of an answer to a request and reports whether it was the
// last.
func addPiece(tracked trackedRequest, piece *handover.FollowResponse) bool {
	if _, err := tracked.answer.AppendAndWake(tracked.answer.TokenCount(), piece.GetTokens()); err != nil {
		tracked.answer.Fail(verdict.FromError(err))
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
		plainAnswer := piece.GetPlain()
		tracked.plain.finish(engine.PlainAnswer{Status: int(plainAnswer.GetStatus()), ContentType: plainAnswer.GetContentType(), Body: plainAnswer.GetBody()}, failure)
		return true
	}
	if failure != nil {
		tracked.answer.Fail(failure)
		return true
	}
	tracked.answer.Finish(engine.Usage{
		PromptTokens: unit.Tokens(piece.GetPromptTokens()), CachedTokens: unit.Tokens(piece.GetCachedTokens()),
		CompletionTokens: tracked.answer.TokenCount(),
	})
	return true
}
