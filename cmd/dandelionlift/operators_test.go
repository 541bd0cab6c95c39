//go:build failure

package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	operatorsAtOdds = 2
	orderPause      = 700 * time.Millisecond
	orderTries      = 8
)

// orders is what operators at odds did.
type orders struct {
	run *run

	mu      sync.Mutex
	history []porcupine.Operation
	// accepted counts the commands that were accepted for sure.
	accepted int
}

// outcome is what an operator learnt of one command.
type outcome struct {
	known    bool
	accepted identity.Version
}

// versions is the configuration as a register that only moves on: a command
// that demands the version in force takes it to the next one.
var versions = porcupine.NondeterministicModel{
	Init: func() []any { return []any{identity.Version(1)} },
	Step: func(state, input, output any) []any {
		inForce, demanded, got := state.(identity.Version), input.(identity.Version), output.(outcome)
		switch {
		case !got.known && demanded == inForce:
			return []any{inForce, inForce + 1}
		case !got.known:
			return []any{inForce}
		case got.accepted == 0 && demanded != inForce:
			return []any{inForce}
		case got.accepted == inForce+1 && demanded == inForce:
			return []any{inForce + 1}
		default:
			return nil
		}
	},
}

// String lists the history, one command a line.
func (o *orders) String() string {
	var text bytes.Buffer
	for _, op := range o.history {
		fmt.Fprintf(&text, "operator=%d demanded=%d outcome=%+v call=%d return=%d\n", op.ClientId, op.Input, op.Output, op.Call, op.Return)
	}
	return text.String()
}

// race lets operators order against each other until ctx ends.
func (o *orders) race(ctx context.Context) error {
	var group errgroup.Group
	for number := range operatorsAtOdds {
		group.Go(func() error {
			version := identity.Version(1)
			for turn := 0; ctx.Err() == nil; turn++ {
				version = o.order(number, version, turn)
				time.Sleep(orderPause)
			}
			return nil
		})
	}
	return group.Wait()
}

// order demands a version and tells the one that is in force now, as far as known.
func (o *orders) order(number int, demanded identity.Version, turn int) identity.Version {
	organisation := o.run.user.Organisations[number].ID
	ask := operator.Ask{
		Command: identity.NewCommand(),
		Line:    fmt.Sprintf("set organisation %s weight = %d if version %d", organisation, 1+turn%9, demanded),
	}
	called := time.Now()
	got, inForce := o.settle(ask)
	returned := time.Now()
	if !got.known {
		returned = called.Add(time.Hour)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: number, Input: demanded, Call: called.UnixNano(), Output: got, Return: returned.UnixNano(),
	})
	if got.accepted > 0 {
		o.accepted++
	}
	return max(inForce, demanded)
}

// settle repeats a command under its id until its outcome is known.
func (o *orders) settle(ask operator.Ask) (outcome, identity.Version) {
	for range orderTries {
		table, err := o.ask(ask)
		switch {
		case err != nil || table.OutcomeUnknown:
		case table.Conflict != nil:
			return outcome{known: true}, table.Conflict.Version
		case table.Error == "":
			return outcome{known: true, accepted: table.Version}, table.Version
		}
		time.Sleep(orderPause)
	}
	return outcome{}, 0
}

func (o *orders) ask(ask operator.Ask) (operator.Table, error) {
	var table operator.Table
	body, err := json.Marshal(ask)
	if err != nil {
		return table, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+o.run.pick()+operator.Path, bytes.NewReader(body))
	if err != nil {
		return table, err
	}
	request.Header.Set("Authorization", "Bearer "+scenario.OperatorToken)
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return table, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&table)
	return table, err
}
