package entry_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
)

// crashingWriter breaks off an answer after some writes, as an engine that crashes while
// it generates.
type crashingWriter struct {
	http.ResponseWriter
	writesLeft int
	crash      func()
}

func (w *crashingWriter) Write(data []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(data)
}

func (w *crashingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// A request that crashes each engine after some tokens must not be resumed at one engine
// after the other until its answer is complete.
func TestRequestThatCrashesEnginesIsNotResumedForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 20, 0, nil)
		defer d.stop()
		var crashes atomic.Int64
		var crashed sync.Map
		d.engineWriter = func(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
			if _, down := crashed.Load(r.Host); down {
				panic(http.ErrAbortHandler)
			}
			if r.URL.Path != engine.CompletionsPath {
				return w
			}
			return &crashingWriter{ResponseWriter: w, writesLeft: 4, crash: func() {
				crashed.Store(r.Host, true)
				crashes.Add(1)
			}}
		}
		_, reply := d.complete(1, d.hosts[0], "history of boiler", 400)
		c.Check(crashes.Load() <= 5, qt.IsTrue, qt.Commentf("%d engines crashed", crashes.Load()))
		c.Check(reply.verdict, qt.Equals, "may_have_run")
	})
}
