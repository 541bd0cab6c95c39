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
	concurrentOperators = 2
	commandInterval     = 700 * time.Millisecond
	commandAttempts     = 8
)

// operatorRace runs operators with conflicting commands and records their history.
type operatorRace struct {
	cluster *cluster

	mu      sync.Mutex
	history []porcupine.Operation
	// acceptedCount counts the commands that are known to be accepted.
	acceptedCount int
}

// commandOutcome is what an operator knows of a command. acceptedVersion is the
// version that it created, or zero if it was refused.
type commandOutcome struct {
	known           bool
	acceptedVersion identity.Version
}

// versionModel models the version of the configuration as a register. A command
// that requires the version in force increments it; any other has no effect.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{identity.Version(1)} },
	Step: func(state, input, output any) []any {
		inForce, required, got := state.(identity.Version), input.(identity.Version), output.(commandOutcome)
		switch {
		case !got.known && required == inForce:
			return []any{inForce, inForce + 1}
		case !got.known:
			return []any{inForce}
		case got.acceptedVersion == 0 && required != inForce:
			return []any{inForce}
		case got.acceptedVersion == inForce+1 && required == inForce:
			return []any{inForce + 1}
		default:
			return nil
		}
	},
}

// String returns the history with one command per line.
func (o *operatorRace) String() string {
	var text bytes.Buffer
	for _, op := range o.history {
		fmt.Fprintf(&text, "operator=%d required=%d outcome=%+v call=%d return=%d\n", op.ClientId, op.Input, op.Output, op.Call, op.Return)
	}
	return text.String()
}

// run lets the operators issue conflicting commands until ctx ends.
func (o *operatorRace) run(ctx context.Context) error {
	var group errgroup.Group
	for number := range concurrentOperators {
		group.Go(func() error {
			version := identity.Version(1)
			for turn := 0; ctx.Err() == nil; turn++ {
				version = o.issue(number, version, turn)
				time.Sleep(commandInterval)
			}
			return nil
		})
	}
	return group.Wait()
}

// issue issues a command that takes effect only if version required is in force,
// and returns the latest version known to be in force.
func (o *operatorRace) issue(number int, required identity.Version, turn int) identity.Version {
	organisation := o.cluster.user.Organisations[number].ID
	command := operator.Request{
		Command: identity.NewCommand(),
		Line:    fmt.Sprintf("set organisation %s weight = %d if version %d", organisation, 1+turn%9, required),
	}
	called := time.Now()
	got, inForce := o.submitUntilKnown(command)
	returned := time.Now()
	if !got.known {
		// A command with an unknown outcome may take effect at any later time.
		returned = called.Add(time.Hour)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: number, Input: required, Call: called.UnixNano(), Output: got, Return: returned.UnixNano(),
	})
	if got.acceptedVersion > 0 {
		o.acceptedCount++
	}
	return max(inForce, required)
}

// submitUntilKnown submits a command repeatedly, with the same id, until its
// outcome is known, and returns the outcome and the version in force. It gives
// up after commandAttempts.
func (o *operatorRace) submitUntilKnown(command operator.Request) (commandOutcome, identity.Version) {
	for range commandAttempts {
		table, err := o.submit(command)
		switch {
		case err != nil || table.OutcomeUnknown:
		case table.Conflict != nil:
			return commandOutcome{known: true}, table.Conflict.Version
		case table.Error == "":
			return commandOutcome{known: true, acceptedVersion: table.Version}, table.Version
		}
		time.Sleep(commandInterval)
	}
	return commandOutcome{}, 0
}

func (o *operatorRace) submit(command operator.Request) (operator.Table, error) {
	var table operator.Table
	body, err := json.Marshal(command)
	if err != nil {
		return table, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+o.cluster.pick()+operator.Path, bytes.NewReader(body))
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
