channel: messages: 8
