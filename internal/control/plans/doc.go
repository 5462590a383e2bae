// Package plans carries out planned changes that operators declare: drain, replace, withdraw, role
// change and stop of an entry host.
//
// All plans of a data centre are one object in the platform's object API, changed by conditional
// updates only, so that they survive whoever carries them out. Advance and Actions hold the
// decisions and do no I/O; Runner carries plans out while its host holds the authority.
package plans
