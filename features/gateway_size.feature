Feature: The gateway process stays small

  Scenario: It loads what serving needs and no more
    When the gateway's modules are loaded
    Then none of "aiohttp pydantic grpc yaml click pythonjsonlogger ssl matplotlib aioprometheus" is among them

  Scenario: Its peak is under the target after some load
    When the experiment "gateway-start" is run
    Then the peak is under 35 MB and requests were answered
