package command_test

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// await waits until the log contains text.
func (l *logBuffer) await(c *qt.C, text string) {
	for range 500 {
		if strings.Contains(l.String(), text) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Fatalf("log does not contain %q after 10 s:\n%s", text, l)
}

// startEntry starts an entry host in a process of its own, whose platform is unreachable.
func startEntry(c *qt.C) (*exec.Cmd, *logBuffer) {
	user, dir := scenario.Perseid(), c.TempDir()
	write := func(name string, value any) string {
		text, err := toml.Marshal(value)
		c.Assert(err, qt.IsNil)
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, text, 0o600), qt.IsNil)
		return path
	}
	write("configuration.toml", user.Configuration())
	s := user.Entries(scenario.Addresses{})[0]
	// Nothing listens on these ports.
	refusing := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	s.Platform = settings.Platform{KeyValue: refusing(1), Cloud: refusing(2), Weights: refusing(3)}
	s.Listen, s.PeerListen = freeAddress(c), freeAddress(c)
	s.Stop.BalancerLag = configuration.Duration(time.Second)
	s.Bootstrap.Configuration = "configuration.toml"
	binary := filepath.Join(dir, "dandelionlift")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/dandelionlift").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	log := new(logBuffer)
	process := exec.Command(binary, "entry", "--settings", write("entry.toml", s))
	process.Stderr = log
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() { _ = process.Process.Kill() })
	return process, log
}

// freeAddress returns an address on the loopback that nothing listens on.
func freeAddress(c *qt.C) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// SIGHUP ended an entry host at once, whether it served or drained: the calls that it had
// under way got no answer.
func TestEntrySurvivesHangups(t *testing.T) {
	c := qt.New(t)
	process, log := startEntry(c)
	log.await(c, "msg=started")
	c.Assert(process.Process.Signal(syscall.SIGHUP), qt.IsNil)
	log.await(c, "msg=hangup_ignored")
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	log.await(c, "msg=stop_began")
	c.Assert(process.Process.Signal(syscall.SIGHUP), qt.IsNil)
	c.Check(process.Wait(), qt.IsNil)
	c.Check(log.String(), qt.Contains, "msg=stopped")
	c.Check(strings.Count(log.String(), "msg=hangup_ignored"), qt.Equals, 2)
}
