// Command kumquat is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"

	"kumquatglade/internal/admin/kqcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(kqcommand.New(os.Stdout).Run(ctx, os.Args[1:], os.Stderr))
}
