// Command dandelionlift serves models and ledgers from reclaimable hosts.
package main

import (
	"fmt"
	"os"

	"github.com/dandelionlift/dandelionlift/internal/process/command"
)

func main() {
	if err := command.Root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(command.Status(err))
	}
}
