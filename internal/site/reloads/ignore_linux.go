//go:build cgo

package reloads

// Constructors of C run before the Go runtime starts. The runtime leaves a signal that is ignored by then alone, until signal.Notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_reloads(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
