// Command sycamorewall runs the query tier between callers and backend servers, and the commands that operate it.
package main

import (
	"os"

	"github.com/sycamorewall/sycamorewall/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
