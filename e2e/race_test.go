//go:build race

package e2e

// raceFlag builds the daemons with the race detector if the tests use it.
const raceFlag = "-race"
