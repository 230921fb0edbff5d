// Command cgctl is the operators' tool. It also runs the stand-ins for tests.
package main

func main() {}
