package carry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// violation describes the first invariant that transfers violate, or is empty.
func violation(input carry.Input, transfers []carry.Transfer) string {
	entries := make(map[carry.Block]carry.Entry)
	for _, e := range input.Entries {
		if _, ok := entries[e.Block]; !ok {
			entries[e.Block] = e
		}
	}
	var sent unit.Bytes
	for _, target := range input.Targets {
		var freeAt time.Duration
		var bytes unit.Bytes
		has := make(map[carry.Block]bool)
		for _, transfer := range transfers {
			if transfer.Target != target.Host {
				continue
			}
			e, ok := entries[transfer.Block]
			bytes += transfer.Bytes
			sent += transfer.Bytes
			fastest := time.Duration(float64(transfer.Bytes) / float64(target.BytesPerSecond) * float64(time.Second))
			switch {
			case !ok || transfer.Bytes != e.Bytes:
				return "unknown block or wrong size"
			case has[transfer.Block]:
				return "block sent twice"
			case e.Parent != 0 && !has[e.Parent] && !target.Cached[e.Parent]:
				return "parent missing at the target"
			case transfer.Start < freeAt || transfer.End-transfer.Start < fastest:
				return "faster than the target's import rate"
			case transfer.End > input.TimeLeft:
				return "ends after the source is gone"
			case bytes > target.Headroom:
				return "exceeds the target's headroom"
			}
			has[transfer.Block] = true
			freeAt = transfer.End
		}
	}
	if float64(sent) > float64(input.BytesPerSecond)*input.TimeLeft.Seconds()+float64(len(transfers)) {
		return "faster than the source's export rate"
	}
	return ""
}

// randomInput returns an input with cycles, orphans, duplicates and useless
// targets.
func randomInput(r *rand.Rand) carry.Input {
	input := carry.Input{
		TimeLeft:       time.Duration(r.IntN(5000)) * time.Millisecond,
		BytesPerSecond: unit.Bytes(r.IntN(2000)),
		TokenValue:     unit.Money(r.IntN(3)),
	}
	for range r.IntN(60) {
		input.Entries = append(input.Entries, carry.Entry{
			Block: carry.Block(r.IntN(50)), Parent: carry.Block(r.IntN(50) * r.IntN(2)),
			Tokens: unit.Tokens(r.IntN(100)), Bytes: unit.Bytes(1 + r.IntN(400)), ReuseProbability: r.Float64(),
		})
	}
	for i := range r.IntN(5) {
		held := make(map[carry.Block]bool)
		for _, e := range input.Entries {
			if e.Parent == 0 && r.IntN(4) == 0 {
				held[e.Block] = true
			}
		}
		input.Targets = append(input.Targets, carry.Target{
			Host: identity.Host(fmt.Sprint("t", i)), Headroom: unit.Bytes(r.IntN(3000)), Cached: held,
			BytesPerSecond: unit.Bytes(r.IntN(1000)), PricePerGigabyte: unit.Money(r.IntN(2)) * unit.Money(r.IntN(1e9)),
		})
	}
	return input
}

func TestCarryInvariants(t *testing.T) {
	sent := 0
	for seed := range uint64(5000) {
		input := randomInput(rand.New(rand.NewPCG(seed, 1)))
		transfers := carry.Decide(input)
		sent += len(transfers)
		if fault := violation(input, transfers); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
	qt.Check(t, sent > 5000, qt.IsTrue)
}

func FuzzCarry(f *testing.F) {
	f.Add(uint64(1), uint64(2))
	f.Fuzz(func(t *testing.T, a, b uint64) {
		input := randomInput(rand.New(rand.NewPCG(a, b)))
		if fault := violation(input, carry.Decide(input)); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestCarryChoices(t *testing.T) {
	near := carry.Target{Host: "near", Headroom: 1000, BytesPerSecond: 1000}
	far := carry.Target{Host: "far", Headroom: 1000, BytesPerSecond: 1000, PricePerGigabyte: 1e9 * unit.Coin}
	block := func(id, parent carry.Block, tokens unit.Tokens, reuse float64) carry.Entry {
		return carry.Entry{Block: id, Parent: parent, Tokens: tokens, Bytes: 100, ReuseProbability: reuse}
	}
	cases := []struct {
		name    string
		left    time.Duration
		entries []carry.Entry
		targets []carry.Target
		want    []carry.Block
	}{
		{"no time", 0, []carry.Entry{block(1, 0, 9, 1)}, []carry.Target{near}, nil},
		{"no target", time.Second, []carry.Entry{block(1, 0, 9, 1)}, nil, nil},
		{"price above value", time.Second, []carry.Entry{block(1, 0, 9, 1)}, []carry.Target{far}, nil},
		{"near before far", time.Second, []carry.Entry{block(1, 0, 9, 1)}, []carry.Target{far, near}, []carry.Block{1}},
		{"higher reuse probability first", 100 * time.Millisecond, []carry.Entry{block(1, 0, 9, .1), block(2, 0, 9, .9)}, []carry.Target{near}, []carry.Block{2}},
		{"valuable block brings its parent", 200 * time.Millisecond,
			[]carry.Entry{block(1, 0, 50, .5), block(2, 0, 1, 0), block(3, 2, 200, .9)}, []carry.Target{near}, []carry.Block{2, 3}},
		{"orphan", time.Second, []carry.Entry{block(2, 7, 9, 1)}, []carry.Target{near}, nil},
		{"parent already cached", time.Second, []carry.Entry{block(1, 0, 9, 1), block(2, 1, 9, 1)},
			[]carry.Target{{Host: "near", Headroom: 1000, BytesPerSecond: 1000, Cached: map[carry.Block]bool{1: true}}}, []carry.Block{2}},
	}
	for _, tc := range cases {
		input := carry.Input{TimeLeft: tc.left, BytesPerSecond: 1000, TokenValue: 1, Entries: tc.entries, Targets: tc.targets}
		var got []carry.Block
		for _, transfer := range carry.Decide(input) {
			got = append(got, transfer.Block)
			qt.Check(t, transfer.Target, qt.Equals, identity.Host("near"), qt.Commentf(tc.name))
		}
		qt.Check(t, got, qt.DeepEquals, tc.want, qt.Commentf(tc.name))
	}
}
