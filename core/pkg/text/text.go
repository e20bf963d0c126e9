// Package text contains texts that several programs show to users.
package text

// Texts of the command line.
const (
	// SettingsFlagUsage is the help text of the flag -settings.
	SettingsFlagUsage = "path of the settings file, in JSON"
)
