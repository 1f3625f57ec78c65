// Package overload simulates days on which more work arrives than the workers can do. It
// runs the real scheduling pass in simulated time. A day of 85 workers takes about a
// second, so that variants of the scheduler can be compared over many seeds.
//
// The model covers gangs, tight coupling, inaccurate run time estimates, failing runs,
// slow stops, lost workers, and a control plane that has no leader for seconds. It does
// not cover networks, logs and processes.
package overload
