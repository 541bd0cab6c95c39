package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// maxCutRequestsNamed bounds how many requests the error of Drain lists.
	maxCutRequestsNamed = 10
)

// Drain makes the host unready, waits for the configured time after which the load
// balancer sends no more requests, and returns when all have ended. If ctx ends first,
// unfinished requests are handed over to peers, and the error lists those that
// are cut off nevertheless.
func (s *Server) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.Log.Info("stop_began", "running", s.Running())
	if !pause.For(ctx, time.Duration(s.settings.Stop.BalancerLag)) {
		return s.handOverOrCut(ctx)
	}
	for s.Running() > 0 {
		if !pause.For(ctx, drainPollInterval) {
			return s.handOverOrCut(ctx)
		}
	}
	return nil
}

// handOverOrCut hands over unfinished requests and reports those that are cut
// off.
func (s *Server) handOverOrCut(ctx context.Context) error {
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverMargin)
	defer cancel()
	s.HandOver(handoverCtx)
	return s.reportCutRequests(ctx)
}

// reportCutRequests logs each request that is still unfinished and returns an
// error that lists them.
func (s *Server) reportCutRequests(ctx context.Context) error {
	unfinished := s.UnfinishedRequests()
	if len(unfinished) == 0 {
		return nil
	}
	for _, request := range unfinished {
		s.Log.Warn("request_cut", "request", request.Request, "organisation", request.Organisation, "service", request.Service,
			"tokens", request.Tokens, "age_ms", request.AgeMillis)
	}
	cuts := fmt.Errorf("stop cut off %d requests: %s", len(unfinished), describeRequests(unfinished))
	return errors.Join(cuts, ctx.Err())
}

func describeRequests(requests []operator.UnfinishedRequest) string {
	var descriptions []string
	for _, request := range requests[:min(len(requests), maxCutRequestsNamed)] {
		descriptions = append(descriptions, fmt.Sprintf("%s of %s to %s", request.Request, request.Organisation, request.Service))
	}
	return strings.Join(descriptions, ", ")
}
