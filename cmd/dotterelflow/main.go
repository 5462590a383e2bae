// Command dotterelflow is the entry host, its operator tools and its load and measurement tools.
package main

func main() {}
