fleet "istanbul" {
  role       = "balancer"
  seeds      = ["10.0.0.1:7001", "10.0.0.2:7001"]
  data       = "/var/lib/balancer"
  machine    = "m3"
  zone       = "c"
  site       = "site-3"
  list_young = "5s"
  list_old   = "6m"
}

hold "intents" {
  grades = ["pay"]
}
