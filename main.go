// Command sycamorewall is the query tier: every process between callers and backend servers.
package main

import (
	"os"

	"github.com/sycamorewall/sycamorewall/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
