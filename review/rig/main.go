// Command rig plays the scripted cases of the review. It starts entry processes with the
// command of the deploy file, and stand-ins for the platform, the runners and the clients
// on loopback addresses.
//
//	rig CASE RECORD
//
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case
// couldn't run. TROUBLE=0 leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxDuration is how long a case may run.
const maxDuration = 115 * time.Second

// guard ends the case and what it started after maxDuration or at a signal.
func guard() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case <-ctx.Done():
	case <-time.After(maxDuration):
	}
	started.kill()
	fmt.Println("could not run: it took too long or was stopped")
	os.Exit(2)
	return nil
}

var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	plays := map[string]func(dir, recordPath string, trouble bool) error{
		"frozen": playFrozen, "late": playLate, "lost": playLost, "order": playOrder, "routes": playRoutes, "stop": playStop,
	}
	play, found := plays[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	var guards errgroup.Group
	guards.Go(guard)
	dir, err := os.MkdirTemp("", "review")
	if err == nil {
		err = play(dir, os.Args[2], os.Getenv("TROUBLE") != "0")
		if os.Getenv("KEEP") == "" {
			err = errors.Join(err, os.RemoveAll(dir))
		} else {
			fmt.Fprintln(os.Stderr, "logs in", dir)
		}
	}
	switch {
	case errors.Is(err, errBroken):
		fmt.Println("BROKEN:", err)
		os.Exit(1)
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	fmt.Println("held")
}
