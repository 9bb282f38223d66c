# Balancers of the lab's own that break a rule on purpose. The judge has to name it: this file exits with 3.
experiment {
  title  = "Balancers that are broken on purpose"
  mode   = "sockets"
  length = "8s"
  seeds  = [1]
}

world {
  balancers    = 1
  message_each = "500ms"
  notice       = ["50ms", "100ms"]

  server "std" {
    count = 6
  }
}

load {
  standing = 60
  fill     = "1s"
  rate     = 30
  life     = "3s"
}

fault "drain" {
  at    = "2s"
  part  = "50%"
  drain = "5s"
}

arm "answers-twice" {
  broken = "answers-twice"
}
arm "sends-to-drained" {
  broken = "sends-to-drained"
}
arm "two-tries" {
  broken = "two-tries"
}
arm "never-answers" {
  broken = "never-answers"
}
