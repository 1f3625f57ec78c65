// Package overload replays days on which more work arrives than the workers can do,
// through the real scheduling pass, in simulated time. A day of 85 workers takes about
// a second, so that variants of the decisions are compared over many seeds.
//
// It models what decides such a day: gangs, tight coupling, estimates that are off,
// runs that fail, stops that take their time, workers that are lost, and a control
// plane without a leader for seconds. Networks, logs and processes it leaves out.
package overload
