package claimer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
)

const (
	keyPrefix = "claims/"
	// sealThresholdBytes is the size above which the head's open entries are
	// moved to a sealed segment.
	sealThresholdBytes = 32 << 10
	// segmentTTLMargin is how much longer a segment is stored than heads refer to it.
	segmentTTLMargin = time.Minute
	segmentNameBytes = 6
	readAttempts     = 3
)

// errMissingSegment is returned when a segment expired while the head still
// names it.
var errMissingSegment = errors.New("claimer: sealed segment missing")

// change holds the entries that one write adds to a shard.
type change struct {
	entries []*claim.Entry
}

func (c *change) add(e *claim.Entry) { c.entries = append(c.entries, e) }

// store reads and writes one shard and caches it as of a revision of its head.
type store struct {
	claimer *Claimer
	key     string
	// loaded is set while the cached copy is usable.
	loaded bool
	// inDoubt is set while a write based on revision may still take effect.
	inDoubt  bool
	revision keyvalue.Revision
	head     *claim.Head
	open     claim.Index
	segments map[string]claim.Index
}

func newStore(c *Claimer, number int) *store {
	return &store{
		claimer: c, key: fmt.Sprintf("%s%02d", keyPrefix, number), head: new(claim.Head),
		open: make(claim.Index), segments: make(map[string]claim.Index),
	}
}

// find returns the newest cached entry of an id, or nil.
func (s *store) find(id claim.ID) *claim.Entry {
	if e, ok := s.open[id]; ok {
		return e
	}
	for i := len(s.head.Sealed) - 1; i >= 0; i-- {
		if e, ok := s.segments[s.head.Sealed[i].Name][id]; ok {
			return e
		}
	}
	return nil
}

// refreshIfStale reads the head if there is no usable copy, if an operation is a
// lookup, or if one finds the claim of another request without an outcome, which
// another host may have recorded since.
func (s *store) refreshIfStale(ctx context.Context, batch []operation) error {
	stale := !s.loaded
	for _, op := range batch {
		found := s.find(claim.ID(op.entry.Id))
		heldByOther := found != nil && found.State == claim.State_CLAIMED && found.Request != op.entry.Request
		stale = stale || op.lookup || heldByOther
	}
	if !stale {
		return nil
	}
	return s.readHead(ctx)
}

// readHead reads the head from the service and adopts it.
func (s *store) readHead(ctx context.Context) error {
	var value keyvalue.Value
	var err error
	for range readAttempts {
		value, err = s.claimer.KeyValue.Get(ctx, s.key)
		if errors.Is(err, keyvalue.ErrAbsent) {
			return s.adopt(ctx, keyvalue.Value{})
		}
		if err == nil {
			return s.adopt(ctx, value)
		}
		if ctx.Err() != nil || errors.Is(err, keyvalue.ErrUnavailable) || errors.Is(err, keyvalue.ErrOverBudget) {
			return err
		}
	}
	return err
}

// adopt replaces the cached copy by a value of the head and loads the segments
// that it names and that are not cached yet.
func (s *store) adopt(ctx context.Context, value keyvalue.Value) error {
	s.loaded = false
	head := new(claim.Head)
	if err := proto.Unmarshal(value.Data, head); err != nil {
		return err
	}
	head.DropExpired(time.Now().Unix())
	segments := make(map[string]claim.Index, len(head.Sealed))
	for _, sealed := range head.Sealed {
		index, ok := s.segments[sealed.Name]
		if !ok {
			var err error
			if index, err = s.loadSegment(ctx, sealed.Name); err != nil {
				return err
			}
		}
		segments[sealed.Name] = index
	}
	s.inDoubt = s.inDoubt && value.Revision == s.revision
	s.loaded, s.revision, s.head, s.segments = true, value.Revision, head, segments
	s.open = make(claim.Index)
	s.open.Add(head.Open)
	return nil
}

func (s *store) loadSegment(ctx context.Context, name string) (claim.Index, error) {
	value, err := s.claimer.KeyValue.Get(ctx, s.key+"/"+name)
	if errors.Is(err, keyvalue.ErrAbsent) {
		return nil, fmt.Errorf("%w: %s", errMissingSegment, name)
	}
	if err != nil {
		return nil, err
	}
	segment := new(claim.Segment)
	if err := proto.Unmarshal(value.Data, segment); err != nil {
		return nil, err
	}
	index := make(claim.Index, len(segment.Entries))
	index.Add(segment.Entries)
	return index, nil
}

// compareAndSwap tries to write the head with a change added. A nil error means
// only that the cached copy is current; the caller looks in that copy whether the
// change was written.
func (s *store) compareAndSwap(ctx context.Context, toWrite *change) error {
	next := proto.Clone(s.head).(*claim.Head)
	next.DropExpired(time.Now().Unix())
	if proto.Size(&claim.Segment{Entries: next.Open}) > sealThresholdBytes {
		if err := s.seal(ctx, next); err != nil {
			return err
		}
	}
	for _, e := range toWrite.entries {
		next.Put(e)
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	put := keyvalue.Put{Data: data, IfRevision: s.revision, WriterToken: keyvalue.NewWriterToken()}
	value, err := s.claimer.KeyValue.Put(ctx, s.key, put)
	switch {
	case err == nil:
		value.Data = data
		return s.adopt(ctx, value)
	case errors.Is(err, keyvalue.ErrConflict):
		return s.adopt(ctx, value)
	case errors.Is(err, keyvalue.ErrAmbiguous):
		s.inDoubt, s.loaded = true, false
		return s.readHead(ctx)
	default:
		return err
	}
}

// seal moves the head's open entries to a segment with a new random name. A
// segment that no head ends up naming expires by its TTL.
func (s *store) seal(ctx context.Context, next *claim.Head) error {
	data, err := proto.Marshal(&claim.Segment{Entries: next.Open})
	if err != nil {
		return err
	}
	raw := make([]byte, segmentNameBytes)
	rand.Read(raw)
	name := hex.EncodeToString(raw)
	put := keyvalue.Put{
		Data: data, WriterToken: keyvalue.NewWriterToken(),
		TTLMillis: (s.claimer.Retention + segmentTTLMargin).Milliseconds(),
	}
	if _, err := s.claimer.KeyValue.PutWithRetry(ctx, s.key+"/"+name, put); err != nil {
		return err
	}
	index := make(claim.Index, len(next.Open))
	index.Add(next.Open)
	s.segments[name] = index
	until := time.Now().Add(s.claimer.Retention).Unix() + 1
	next.Sealed = append(next.Sealed, &claim.Sealed{Name: name, Until: until})
	next.Open = nil
	return nil
}
