// Package text holds the texts that all programs show to users.
package text

// Texts of the command line.
const (
	SettingsFlagUsage = "path of the settings file, in JSON"
)
