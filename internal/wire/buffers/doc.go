// Package buffers reads answers into memory that is bounded for each of them and for all together, as a faulty server may
// send bytes without end.
package buffers
