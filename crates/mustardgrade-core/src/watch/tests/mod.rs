//! Tests of the watch controller; whole fleets are played by the stand-ins' `fleet` module.

mod controller;
