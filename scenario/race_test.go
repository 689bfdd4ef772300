//go:build race

package scenario

// raceFlags build the programs as the tests are built.
var raceFlags = []string{"-race"}
