// Command dotterelflow-standin plays the platform, model engines and plain services on loopback.
package main

func main() {}
