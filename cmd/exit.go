package cmd

// Exit codes of the rules commands besides exitOK and exitFailed. docs/operate/rules.md lists them. Those of config check are among them;
// docs/operate/configuration.md lists those.
const (
	// exitProblems means that a rule file or a configuration has errors.
	exitProblems = 2
	// exitRace means that another edit changed the rules first; nothing was written.
	exitRace = 3
	// exitUnknown means that the edit may or may not have been written.
	exitUnknown = 4
	// exitUnavailable means that the platform could not be reached; nothing was written.
	exitUnavailable = 5
	// exitNotInForce means that a version is not in force in every data centre.
	exitNotInForce = 6
	// exitDifferent means that a file is not in canonical form, or differs from the rules at the platform.
	exitDifferent = 7
)
