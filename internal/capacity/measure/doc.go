// Package measure provides tools to measure the processor time and memory of code, and a server with
// canned responses. Its tests run small fleets of node processes on loopback against simulated endpoints
// and read their resource usage from the nodes' metrics.
//
// The figures depend on the machine and its load, so no test asserts on them. Node processes end with
// the test that started them.
package measure
