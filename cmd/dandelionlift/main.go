// Command dandelionlift stands between callers and model engines or ledgers on
// hosts that can be taken back at short notice.
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
