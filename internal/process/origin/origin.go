// Package origin tells at which software version a stream began.
//
// # Resumed streams
//
// A caller whose stream broke off takes it up again at any host, and names the request
// that brought the first event. Software versions write different text, so the stream
// may go on only at the version that began it. The request's id is the caller's own and
// says nothing of the version, and endpoints don't check.
//
// # One version
//
// Mostly all endpoints of a service run one version, and have done so for longer than
// streams last. Versions holds which ones have served lately; with a single one nothing
// else need be known. A host that was cut off or stood still may not have heard of a new
// version. So the versions are recorded in the store: endpoints of a new one begin streams
// only once the record contains it, and a host that has not begun a stream reads the record
// before it goes on with it.
//
// # Several versions
//
// Streams holds where the streams of this host began. Other hosts can't ask it once it
// has been killed, so it is written to the store, in shards by request id: a host that
// looks for one stream reads one shard of all hosts. If a stream's origin is not found,
// it can't go on.
package origin

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// minRetention is for how long origins and versions are remembered at least.
const minRetention = 30 * time.Second

// Retention returns for how long origins and versions must be remembered, given the longest
// that one call for a stream may take: callers may take a stream up at its end.
func Retention(longestCall time.Duration) time.Duration { return max(minRetention, 2*longestCall) }

// Origin is where a stream began.
type Origin struct {
	Service  identity.Service
	Software identity.Software
}

// Shard is a part of the streams, by request id.
type Shard uint8

// Shards is the number of shards.
const Shards = 16

// ShardOf returns the shard of a request.
func ShardOf(id identity.Request) Shard { return keyOf(id).shard() }

// key stands for a request's id. Two of the streams of thirty seconds have the same with
// a probability below one in a million, also at the size of 18,000 calls a second.
type key uint64

func keyOf(id identity.Request) key { return key(xxh3.HashString(string(id))) }

func (k key) shard() Shard { return Shard(k % Shards) }

const keyBytes = 8

type began struct {
	Origin
	at time.Time
}

// Streams holds the origins of a host's streams. Create one with NewStreams.
type Streams struct {
	now func() time.Time

	mu        sync.Mutex
	retention time.Duration
	shards    [Shards]map[key]began
	// changed holds the shards with streams that Document has not returned yet.
	changed [Shards]bool
}

// Option configures Streams.
type Option func(*Streams)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Streams) { s.now = now }
}

// NewStreams returns Streams without any stream.
func NewStreams(options ...Option) *Streams {
	s := &Streams{now: time.Now, retention: minRetention}
	for i := range s.shards {
		s.shards[i] = make(map[key]began)
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetRetention sets for how long streams are remembered.
func (s *Streams) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// Record records that a request brings the first event of a stream. A stream without an id
// can't be told from others.
func (s *Streams) Record(id identity.Request, o Origin) {
	if id == "" {
		return
	}
	k := keyOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[k.shard()][k] = began{o, s.now()}
	s.changed[k.shard()] = true
}

// Find returns the origin of the stream that a request of this host began.
func (s *Streams) Find(id identity.Request) (Origin, bool) {
	k := keyOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, found := s.shards[k.shard()][k]
	return b.Origin, found && s.now().Sub(b.at) < s.retention
}

// Changed returns the shards with streams that Document has not returned yet.
func (s *Streams) Changed() []Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Shard
	for i, changed := range s.changed {
		if changed {
			list = append(list, Shard(i))
		}
	}
	return list
}

// SetChanged makes Changed return a shard again, since its document was not stored or was
// lost.
func (s *Streams) SetChanged(shard Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed[shard] = len(s.shards[shard]) > 0
}

// document is the stored form of a shard: the concatenated keys of the requests that
// began streams, by service and software version.
type document map[identity.Service]map[identity.Software][]byte

// Document returns the stored form of a shard, and drops the streams that are too old.
func (s *Streams) Document(shard Shard) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(shard)
	d := make(document)
	for k, b := range s.shards[shard] {
		if d[b.Service] == nil {
			d[b.Service] = make(map[identity.Software][]byte)
		}
		d[b.Service][b.Software] = binary.BigEndian.AppendUint64(d[b.Service][b.Software], uint64(k))
	}
	s.changed[shard] = false
	return json.Marshal(d)
}

// Evict drops the streams that are too old.
func (s *Streams) Evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.shards {
		s.evict(Shard(i))
	}
}

func (s *Streams) evict(shard Shard) {
	now := s.now()
	maps.DeleteFunc(s.shards[shard], func(_ key, b began) bool { return now.Sub(b.at) >= s.retention })
}

// FindStored looks for the stream that a request began in the stored form of its shard.
func FindStored(data []byte, id identity.Request) (o Origin, found bool, err error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return Origin{}, false, err
	}
	wanted := keyOf(id)
	for service, bySoftware := range d {
		for software, keys := range bySoftware {
			for ; len(keys) >= keyBytes; keys = keys[keyBytes:] {
				if key(binary.BigEndian.Uint64(keys)) == wanted {
					return Origin{Service: service, Software: software}, true, nil
				}
			}
		}
	}
	return Origin{}, false, nil
}
