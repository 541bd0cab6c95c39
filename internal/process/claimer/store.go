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
	// sealBytes is the size of the open part at which it is sealed.
	sealBytes   = 32 << 10
	sealMargin  = time.Minute
	segmentName = 6
	readTries   = 3
)

// errHole tells that a segment is gone before its time.
var errHole = errors.New("claimer: a sealed segment is missing")

// change is what one write adds to a shard.
type change struct {
	entries []*claim.Entry
}

func (c *change) add(e *claim.Entry) { c.entries = append(c.entries, e) }

// store is this host's copy of one shard, as of a revision of its head.
type store struct {
	claimer *Claimer
	key     string
	known   bool
	// unsettled tells that a write on top of revision may still take effect.
	unsettled bool
	revision  keyvalue.Revision
	head      *claim.Head
	open      claim.Index
	segments  map[string]claim.Index
}

func newStore(c *Claimer, number int) *store {
	return &store{
		claimer: c, key: fmt.Sprintf("%s%02d", keyPrefix, number), head: new(claim.Head),
		open: make(claim.Index), segments: make(map[string]claim.Index),
	}
}

// find gives the newest entry of an id, or nil.
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

// refreshFor reads the head when there is no copy yet, or when an ask meets an
// entry whose outcome another host may have recorded since.
func (s *store) refreshFor(ctx context.Context, batch []ask) error {
	stale := !s.known
	for _, a := range batch {
		found := s.find(claim.ID(a.entry.Id))
		other := found != nil && found.State == claim.State_CLAIMED && found.Request != a.entry.Request
		stale = stale || a.looks || other
	}
	if !stale {
		return nil
	}
	return s.read(ctx)
}

// read takes the head as the service has it.
func (s *store) read(ctx context.Context) error {
	var value keyvalue.Value
	var err error
	for range readTries {
		value, err = s.claimer.KeyValue.Get(ctx, s.key)
		if errors.Is(err, keyvalue.ErrAbsent) {
			return s.take(ctx, keyvalue.Value{})
		}
		if err == nil {
			return s.take(ctx, value)
		}
		if ctx.Err() != nil || errors.Is(err, keyvalue.ErrUnavailable) || errors.Is(err, keyvalue.ErrBudget) {
			return err
		}
	}
	return err
}

// take adopts a value of the head and loads the segments it names.
func (s *store) take(ctx context.Context, value keyvalue.Value) error {
	s.known = false
	head := new(claim.Head)
	if err := proto.Unmarshal(value.Data, head); err != nil {
		return err
	}
	head.Outlive(time.Now().Unix())
	segments := make(map[string]claim.Index, len(head.Sealed))
	for _, sealed := range head.Sealed {
		index, ok := s.segments[sealed.Name]
		if !ok {
			var err error
			if index, err = s.load(ctx, sealed.Name); err != nil {
				return err
			}
		}
		segments[sealed.Name] = index
	}
	s.unsettled = s.unsettled && value.Revision == s.revision
	s.known, s.revision, s.head, s.segments = true, value.Revision, head, segments
	s.open = make(claim.Index)
	s.open.Add(head.Open)
	return nil
}

func (s *store) load(ctx context.Context, name string) (claim.Index, error) {
	value, err := s.claimer.KeyValue.Get(ctx, s.key+"/"+name)
	if errors.Is(err, keyvalue.ErrAbsent) {
		return nil, fmt.Errorf("%w: %s", errHole, name)
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

// swap offers the head with a change. A nil error means only that the copy is
// current again: whether the change is in it is for the copy to tell.
func (s *store) swap(ctx context.Context, write *change) error {
	next := proto.Clone(s.head).(*claim.Head)
	next.Outlive(time.Now().Unix())
	if proto.Size(&claim.Segment{Entries: next.Open}) > sealBytes {
		if err := s.seal(ctx, next); err != nil {
			return err
		}
	}
	for _, e := range write.entries {
		next.Put(e)
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	put := keyvalue.Put{Data: data, IfRevision: s.revision, Writer: keyvalue.NewWriter()}
	value, err := s.claimer.KeyValue.Put(ctx, s.key, put)
	switch {
	case err == nil:
		value.Data = data
		return s.take(ctx, value)
	case errors.Is(err, keyvalue.ErrConflict):
		return s.take(ctx, value)
	case errors.Is(err, keyvalue.ErrAmbiguous):
		s.unsettled, s.known = true, false
		return s.read(ctx)
	default:
		return err
	}
}

// seal moves the open part to a segment under a new name. One that no head
// comes to name lapses by itself.
func (s *store) seal(ctx context.Context, next *claim.Head) error {
	data, err := proto.Marshal(&claim.Segment{Entries: next.Open})
	if err != nil {
		return err
	}
	raw := make([]byte, segmentName)
	rand.Read(raw)
	name := hex.EncodeToString(raw)
	put := keyvalue.Put{
		Data: data, Writer: keyvalue.NewWriter(),
		TTLMillis: (s.claimer.Kept + sealMargin).Milliseconds(),
	}
	if _, err := s.claimer.KeyValue.Settle(ctx, s.key+"/"+name, put); err != nil {
		return err
	}
	index := make(claim.Index, len(next.Open))
	index.Add(next.Open)
	s.segments[name] = index
	until := time.Now().Add(s.claimer.Kept).Unix() + 1
	next.Sealed = append(next.Sealed, &claim.Sealed{Name: name, Until: until})
	next.Open = nil
	return nil
}
