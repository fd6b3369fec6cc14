Feature: The gateway process needs little memory

  Scenario: It loads no libraries that serving does not need
    When the gateway's modules are loaded
    Then none of "aiohttp pydantic grpc yaml click pythonjsonlogger ssl matplotlib aioprometheus" is loaded
    And none of "zinniaturn.gateway.operator_endpoints zinniaturn.gateway.where_endpoint zinniaturn.explain" is loaded

  Scenario: Its peak memory is within the target under load
    When the experiment "gateway-start" is run
    Then the peak is under 35 MB and requests were served
