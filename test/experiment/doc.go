// Package experiment contains whole-system experiments. Entry nodes, engines,
// plain services and the platform run as separate processes on the loopback
// interface. Correctness is checked by tests; measurements are benchmarks, which
// make no assertions about time. Run them with
//
//	go test ./test/experiment
//	go test ./test/experiment -run xxx -bench Domain -benchtime 1x -count 5
package experiment
