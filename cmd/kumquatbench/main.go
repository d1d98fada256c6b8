// Command kumquatbench runs fake targets, the load generator and the experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"kumquatglade/internal/bench/kqbench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(kqbench.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
