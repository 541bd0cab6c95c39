package attempt_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/attempt"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// fixedResponse is a transport that answers every request with the same bytes.
type fixedResponse []byte

func (body fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(body)),
	}, nil
}

// FuzzRun feeds an attempt arbitrary bytes as an engine's response. If Run returns
// no error, the answer must be complete.
func FuzzRun(f *testing.F) {
	const head = `data: {"request":"r","incarnation":"i",`
	f.Add([]byte(head + `"offset":0,"tokens":["a "]}` + "\n\n" + head + `"offset":1,"done":true,"usage":{}}` + "\n\n"))
	f.Add([]byte(head + `"done":true}` + "\n\n"))
	f.Add([]byte(head + `"offset":-1,"tokens":["a","b"]}` + "\n\n"))
	f.Add([]byte(head + `"offset":0,"tokens":["a "]}` + "\n\n" + head + `"offset":9,"done":true,"usage":{}}` + "\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client := engine.Client{HTTP: &http.Client{Transport: fixedResponse(data)}}
		a := answer.New()
		endpoint := fleet.Endpoint{Incarnation: "i", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		timeouts := attempt.ProgressTimeouts{FirstToken: time.Minute, BetweenTokens: time.Minute}
		err := attempt.Run(context.Background(), client, call.Call{Request: "r"}, endpoint, a, timeouts)
		if err != nil {
			return
		}
		piece, err := a.Read(context.Background(), 0)
		if err != nil || !piece.Done {
			t.Fatalf("Run returned no error, but the answer is not done: %v", err)
		}
		if piece.Failure != nil {
			t.Fatalf("Run returned no error, but the answer failed: %v", piece.Failure)
		}
	})
}
