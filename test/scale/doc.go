// Package scale measures the resource usage of nodes as the fleet grows. Entry
// nodes run as separate processes, the stand-ins in the benchmark process.
// Everything runs on the loopback interface and is bounded. The measurements
// are benchmarks; run them with
//
//	go test ./test/scale -run xxx -bench Idle -benchtime 1x
package scale
