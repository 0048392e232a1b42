// Package scale measures what nodes cost as the fleet grows: entry nodes run as
// processes of their own, the stand-ins in the benchmark's process. Everything
// is on loopback and bounded. The measurements are benchmarks; run them with
//
//	go test ./test/scale -run xxx -bench Idle -benchtime 1x
package scale
