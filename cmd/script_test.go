package cmd

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sycamorewall": func() { os.Exit(Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// platformKey is the key of the fake platform among a script's values.
type platformKey struct{}

func TestRulesCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/rules",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			platform := newFakePlatform()
			env.Defer(platform.server.Close)
			env.Values[platformKey{}] = platform
			env.Setenv(platformVariable, platform.server.URL)
			env.Setenv("USER", "operator")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": func(script *testscript.TestScript, negated bool, args []string) {
				script.Value(platformKey{}).(*fakePlatform).runScriptCommand(script, negated, args)
			},
			"code": expectCode,
		},
	})
}

// expectCode implements the script command "code N ARGUMENTS...": it runs the program and checks its exit code.
func expectCode(script *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		script.Fatalf("usage: code N ARGUMENTS...")
	}
	got := 0
	var exit *exec.ExitError
	if err := script.Exec("sycamorewall", args[1:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		script.Check(err)
	}
	if fmt.Sprint(got) != args[0] {
		script.Fatalf("exit code is %d, want %s", got, args[0])
	}
}
