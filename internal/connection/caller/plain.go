package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Call is one call to a plain service.
type Call struct {
	Service identity.Service
	Method  string
	Path    string
	// Key is the Idempotency-Key, or empty.
	Key  string
	Body string
}

// Plain makes a call to a plain service. Under a Key it is sent again until an
// answer comes that speaks for all sendings: a NotRun says nothing of an earlier
// sending whose answer was lost.
func (c Client) Plain(ctx context.Context, key string, call Call) Result {
	result := Result{}
	var attempts []Attempt
	for try := range tries {
		if try > 0 {
			pause.For(ctx, resendAfter)
		}
		request, err := c.plainRequest(ctx, key, call)
		if err != nil {
			return Result{Failure: verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)}
		}
		sent := time.Now()
		result = c.once(request)
		attempts = append(attempts, Attempt{Sent: sent, Answered: time.Now(), Verdict: result.verdict()})
		result.Attempts = attempts
		if settled(attempts, call) || ctx.Err() != nil {
			return result
		}
	}
	if open(attempts) {
		result.Failure = verdict.New(verdict.MayHaveRun, result.Failure.Reason, "an earlier sending was not answered")
	}
	return result
}

func (c Client) plainRequest(ctx context.Context, key string, call Call) (*http.Request, error) {
	target := "http://" + c.Pick() + "/v1/services/" + string(call.Service) + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, target, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+key)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	return request, nil
}

// verdict reads what one sending's answer says.
func (r Result) verdict() verdict.Verdict {
	if r.Failure == nil {
		return verdict.Ran
	}
	return r.Failure.Verdict
}

// open tells that some sending may have run and none was answered whole.
func open(attempts []Attempt) bool {
	for _, a := range attempts {
		if a.Verdict == verdict.MayHaveRun {
			return true
		}
	}
	return false
}

// settled tells that the last answer ends the call.
func settled(attempts []Attempt, call Call) bool {
	last := attempts[len(attempts)-1]
	if last.Verdict == verdict.Ran {
		return true
	}
	if last.Verdict == verdict.NotRun {
		return !open(attempts)
	}
	return call.Key == "" && call.Method != http.MethodGet
}

// once makes one plain call; a zero Status means that no answer came.
func (c Client) once(request *http.Request) Result {
	sent := time.Now()
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Result{Failure: verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)}
	}
	defer response.Body.Close()
	result := Result{
		Request:    identity.Request(response.Header.Get(engine.RequestHeader)),
		Status:     response.StatusCode,
		FirstToken: time.Since(sent),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		result.Failure = readRefusal(response)
		return result
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Status = 0
		result.Failure = verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
		return result
	}
	result.Text = string(body)
	result.Whole = response.StatusCode == http.StatusOK
	if !result.Whole {
		result.Failure = verdict.New(verdict.MayHaveRun, verdict.EndpointLost, fmt.Sprintf("status %d", response.StatusCode))
	}
	return result
}
