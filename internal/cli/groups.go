package cli

// group is a group of commands under one heading in the tool's help.
type group struct {
	name     string
	commands []*command
}

// groups returns all commands, grouped by heading.
func groups(env Env) []group {
	return []group{
		{"declarations", []*command{validateCommand(env), planCommand(env), applyCommand(env)}},
		{"operation", []*command{
			drainCommand(env), undrainCommand(env), takeoutCommand(env), returnCommand(env),
			statusCommand(env), auditCommand(env), restoreCommand(env), explainCommand(env),
		}},
		{"other", []*command{keysCommand(env), demoCommand(env), versionCommand(env)}},
	}
}
