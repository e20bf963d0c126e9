// Package text contains texts that several programs show to users.
package text

// Texts of the command line.
const (
	SettingsFlagUsage = "path of the settings file, in JSON"
)
