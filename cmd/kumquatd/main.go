// Command kumquatd is the daemon that runs one host of the system.
package main

import (
	"os"

	"kumquatglade/internal/run/kqmain"
)

func main() {
	os.Exit(kqmain.Run(os.Args[1:], os.Stdout, os.Stderr))
}
