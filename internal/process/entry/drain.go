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
	drainPoll = 20 * time.Millisecond
	// cutsNamed bounds how many requests the error of Drain names.
	cutsNamed = 10
)

// Drain says unready, waits out the balancer's lag, and returns when all work
// has ended. When ctx ends first, work is handed to peers, and the error names the
// requests that are cut all the same.
func (s *Server) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.Log.Info("stop_began", "running", s.Running())
	if !pause.For(ctx, time.Duration(s.settings.Stop.BalancerLag)) {
		return s.hurry(ctx)
	}
	for s.Running() > 0 {
		if !pause.For(ctx, drainPoll) {
			return s.hurry(ctx)
		}
	}
	return nil
}

// hurry hands over what it can, and then names what is cut.
func (s *Server) hurry(ctx context.Context) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverMargin)
	defer cancel()
	s.HandOver(limited)
	return s.cut(ctx)
}

// cut logs each request that a hurried stop cuts off.
func (s *Server) cut(ctx context.Context) error {
	works := s.Work()
	if len(works) == 0 {
		return nil
	}
	for _, w := range works {
		s.Log.Warn("request_cut", "request", w.Request, "organisation", w.Organisation, "service", w.Service,
			"tokens", w.Tokens, "age_ms", w.AgeMillis)
	}
	cuts := fmt.Errorf("stop cuts %d requests: %s", len(works), nameCuts(works))
	return errors.Join(cuts, ctx.Err())
}

func nameCuts(works []operator.Work) string {
	var names []string
	for _, w := range works[:min(len(works), cutsNamed)] {
		names = append(names, fmt.Sprintf("%s of %s to %s", w.Request, w.Organisation, w.Service))
	}
	return strings.Join(names, ", ")
}
