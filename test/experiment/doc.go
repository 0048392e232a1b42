// Package experiment holds whole-system experiments: entry nodes, engines,
// plain services and the platform run as processes of their own, on loopback.
// Outcomes that are right or wrong are tests; figures are benchmarks, which
// assert nothing about time. Run them with
//
//	go test ./test/experiment
//	go test ./test/experiment -run xxx -bench Domain -benchtime 1x -count 5
package experiment
